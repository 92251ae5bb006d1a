/**
 * Randomness as the system sees it. It is injected, so that tests can seed it.
 */
export abstract class RandomSource {
  /** A number from 0 (included) to 1 (excluded). */
  abstract next (): number

  /** A whole number from 0 (included) to `limit` (excluded). */
  integer (limit: number): number {
    return Math.floor(this.next() * limit)
  }
}
