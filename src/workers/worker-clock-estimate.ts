/**
 * What an owner knows of a worker's clock.
 */

import { WORKER_CLOCK_RATE } from '../jobs/worker-clock-rate.js'

/** Time by which a clock may exceed its limits, in milliseconds; the processes read clocks in whole milliseconds. */
const CONTRADICTION_TOLERANCE_MILLISECONDS = 50

/** Limits of a worker's clock, from its reports. A report tells what the clock showed at some moment between its request and its arrival. */
export class WorkerClockEstimate {
  private _earliest = 0
  private _latest = Infinity
  /** Epoch milliseconds at which the two were true. */
  private _at = 0
  /** Reading in the first report, and when the last one was requested. */
  private _first = 0
  private _requestedAt = 0
  /** Epoch milliseconds before which requests don't count. */
  private _validFrom = 0

  /** Whether a report has been recorded since the last reset. */
  get isKnown (): boolean {
    return this._latest < Infinity
  }

  /** Records a report of the time `clock`, requested and received at the given epoch milliseconds. */
  record (clock: number, requestedAt: number, receivedAt: number): void {
    if (requestedAt < this._validFrom) return
    const earlier = this.read(receivedAt)
    if (!this.isKnown) this._first = clock
    this._requestedAt = requestedAt
    this._earliest = Math.max(earlier.earliest, clock)
    this._latest = Math.min(earlier.latest, clock + (receivedAt - requestedAt) * WORKER_CLOCK_RATE.fastest)
    this._at = receivedAt
  }

  /** Returns the limits of what the clock shows at the given epoch milliseconds. */
  read (now: number): { readonly earliest: number, readonly latest: number } {
    const elapsed = now - this._at
    return { earliest: this.isKnown ? this._earliest + elapsed * WORKER_CLOCK_RATE.slowest : 0, latest: this._latest + elapsed * WORKER_CLOCK_RATE.fastest }
  }

  /** Returns the latest that the clock can show at the given epoch milliseconds, in whole milliseconds; 0 if unknown. */
  readLatest (now: number): number {
    return this.isKnown ? Math.ceil(this.read(now).latest) : 0
  }

  /** Returns whether a report of the time `clock`, received at the given epoch milliseconds, shows that the owner's clock has stood still since an earlier one. */
  isContradictedBy (clock: number, receivedAt: number): boolean {
    return clock > this.read(receivedAt).latest + CONTRADICTION_TOLERANCE_MILLISECONDS
  }

  /**
   * Returns whether a response with the reading `clock` comes from another clock than the reports, and so from another incarnation; null if it may be of either. An incarnation that began after the
   * last report can't show more than the time since then, from where clocks start, which the first report bounds.
   *
   * @param requestedAt epoch milliseconds at which the response was requested.
   * @param receivedAt epoch milliseconds at which it arrived.
   */
  isFromOther (clock: number, requestedAt: number, receivedAt: number): boolean | null {
    if (!this.isKnown) return null
    const sinceRequest = requestedAt - this._at
    const earliest = this._earliest + sinceRequest * (sinceRequest < 0 ? WORKER_CLOCK_RATE.fastest : WORKER_CLOCK_RATE.slowest)
    if (clock < earliest - CONTRADICTION_TOLERANCE_MILLISECONDS || this.isContradictedBy(clock, receivedAt)) return true
    const latestOfNext = this._first + (receivedAt - this._requestedAt) * WORKER_CLOCK_RATE.fastest
    return clock <= latestOfNext + CONTRADICTION_TOLERANCE_MILLISECONDS ? null : false
  }

  /** Forgets everything known before `now` (epoch milliseconds), because another incarnation follows or the owner's clock has stood still. */
  reset (now: number): void {
    this._earliest = 0
    this._latest = Infinity
    this._validFrom = now
  }
}
