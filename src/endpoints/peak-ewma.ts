/**
 * A peak-sensitive moving average of latencies.
 */

/** Half-life of the value without new samples, in milliseconds. */
const HALF_LIFE_MILLISECONDS = 1_000

/** Weight of a sample below the current value. */
const SMOOTHING_FACTOR = 0.1

/**
 * A peak EWMA: samples above the current value replace it, so the first slow response of an endpoint
 * that slows down counts in full; lower samples are smoothed. The value also decays exponentially over time, so
 * an endpoint that has recovered is tried again.
 */
export class PeakEwma {
  private _value = 0
  private _recordedAt = 0

  /** The decayed value at `now`, epoch milliseconds. */
  valueAt (now: number): number {
    return this._value * 0.5 ** ((now - this._recordedAt) / HALF_LIFE_MILLISECONDS)
  }

  /** Adds a sample taken at `now`, epoch milliseconds. */
  record (value: number, now: number): void {
    const current = this.valueAt(now)
    this._value = value >= current ? value : current + SMOOTHING_FACTOR * (value - current)
    this._recordedAt = now
  }
}
