/**
 * Source of random numbers. Components receive it, so that tests can pass a seeded one.
 */
export abstract class RandomSource {
  /** Returns a random number in [0, 1). */
  abstract next (): number

  /** Returns a random integer in [0, `limit`). */
  integer (limit: number): number {
    return Math.floor(this.next() * limit)
  }
}
