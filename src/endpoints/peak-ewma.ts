/**
 * A latency that rises at once and falls slowly.
 */

/** Time in which the value falls to a half, in milliseconds. */
const HALF_LIFE_MILLISECONDS = 1_000

/** Weight of a value below the present one. */
const SMOOTHING = 0.1

/**
 * Follows peaks at once, so that an endpoint that slows down is noticed with its first
 * slow answer, and forgets them with time, so that one that recovers is tried again.
 */
export class PeakEwma {
  private _value = 0
  private _recordedAt = 0

  /** The value at `now`, epoch milliseconds. */
  at (now: number): number {
    return this._value * 0.5 ** ((now - this._recordedAt) / HALF_LIFE_MILLISECONDS)
  }

  /** Takes a value at `now`. */
  record (value: number, now: number): void {
    const present = this.at(now)
    this._value = value >= present ? value : present + SMOOTHING * (value - present)
    this._recordedAt = now
  }
}
