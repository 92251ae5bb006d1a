/**
 * Rate limiter for calls.
 */
import type { Clock } from '../../src/supervision/clock.js'

/** Length of the sliding window, in milliseconds. */
const WINDOW_MILLISECONDS = 1_000

/** Limits the total weight of calls within a sliding window of one second. */
export class RateLimiter {
  private _calls: { readonly at: number, readonly weight: number }[] = []
  private _totalWeight = 0

  constructor (private readonly _clock: Clock, private readonly _limit: number) {}

  /** Counts a call and returns true if it is within the limit; a refused call doesn't count. */
  tryAcquire (weight = 1): boolean {
    const now = this._clock.now()
    const start = this._calls.findIndex(({ at }) => at > now - WINDOW_MILLISECONDS)
    const expired = this._calls.splice(0, start < 0 ? this._calls.length : start)
    for (const call of expired) this._totalWeight -= call.weight
    if (this._totalWeight + weight > this._limit) return false
    this._calls.push({ at: now, weight })
    this._totalWeight += weight
    return true
  }
}
