/**
 * A limit on calls a second.
 */
import type { Clock } from '../../src/supervision/clock.js'

/** Window over which calls are counted, in milliseconds. */
const WINDOW_MILLISECONDS = 1_000

/** Counts calls within the last second; those beyond the limit are refused. */
export class CallRate {
  private _calls: { readonly at: number, readonly weight: number }[] = []
  private _sum = 0

  constructor (private readonly _clock: Clock, private readonly _limit: number) {}

  /** Whether a call is within the limit; it counts then. */
  take (weight = 1): boolean {
    const now = this._clock.now()
    const start = this._calls.findIndex(({ at }) => at > now - WINDOW_MILLISECONDS)
    const expired = this._calls.splice(0, start < 0 ? this._calls.length : start)
    for (const call of expired) this._sum -= call.weight
    if (this._sum + weight > this._limit) return false
    this._calls.push({ at: now, weight })
    this._sum += weight
    return true
  }
}
