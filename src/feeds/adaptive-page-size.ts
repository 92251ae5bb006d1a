/**
 * The size of the pages in which a feed is read.
 */

/** Factor by which the size falls after a page that didn't arrive in time: falls faster than it grows, as a link that carries too much needs to become free first. */
const REDUCTION_FACTOR = 4

/** Factor by which the size grows after a full page. */
const GROWTH_FACTOR = 2

/**
 * Adapts the size to what the link to the store carries in time. A process that has fallen behind reads full pages, together with all others after an outage; on a slow or busy link a page of fixed size
 * may never arrive before its deadline, and each attempt takes the link's capacity from everything else.
 */
export class AdaptivePageSize {
  private _kilobytes: number

  constructor (private readonly _minimumKilobytes: number, private readonly _maximumKilobytes: number) {
    this._kilobytes = _maximumKilobytes
  }

  /** Largest size of the next page, in kilobytes. */
  get kilobytes (): number {
    return this._kilobytes
  }

  /** Records that a page didn't arrive in time. */
  recordTimeout (): void {
    this._kilobytes = Math.max(this._minimumKilobytes, Math.floor(this._kilobytes / REDUCTION_FACTOR))
  }

  /** Records that a page has arrived after which more records are left. */
  recordFullPage (): void {
    this._kilobytes = Math.min(this._maximumKilobytes, this._kilobytes * GROWTH_FACTOR)
  }
}
