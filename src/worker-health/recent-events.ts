/**
 * Recent events in a list of bounded length.
 */

/** Largest number of events of one kind: about as many as a busy worker has within a half-life. */
const MAXIMUM_EVENTS = 64

/** Keeps the newest events, oldest first. */
export class RecentEvents<T extends { readonly at: number }> {
  private _events: T[] = []

  get all (): readonly T[] {
    return this._events
  }

  /** Epoch milliseconds of each event. */
  get moments (): number[] {
    return this._events.map(({ at }) => at)
  }

  /** Epoch milliseconds of the newest event; 0 for none. */
  get latestAt (): number {
    return this._events.at(-1)?.at ?? 0
  }

  add (event: T): void {
    this._events.push(event)
    if (this._events.length > MAXIMUM_EVENTS) this._events.shift()
  }

  /** Drops the events before `start` (epoch milliseconds). */
  dropBefore (start: number): void {
    if ((this._events[0]?.at ?? Infinity) < start) this._events = this._events.filter(({ at }) => at >= start)
  }
}
