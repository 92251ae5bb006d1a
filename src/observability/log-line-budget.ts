/**
 * Limits how many log lines are written per second.
 */

/** Kinds of events that have limits of their own, so that a flood of one doesn't hide the others. */
type EventKind = 'routine' | 'move' | 'other'

/** Events that every request or run causes. */
const ROUTINE_EVENTS: ReadonlySet<string> = new Set(['job call', 'runs placed', 'runs completed'])

/** Events that every move of a VM causes. */
const MOVE_EVENTS: ReadonlySet<string> = new Set(['move ordered', 'move finished'])

/** Lines written per second; more are dropped and counted. Limits the processor time that logging takes. */
const MAXIMUM_LINES_PER_SECOND: Readonly<Record<EventKind, number>> = { routine: 300, move: 100, other: 150 }

/** Window to which the limits apply, in milliseconds; a shorter one would let more lines through per second. */
const WINDOW_MILLISECONDS = 1_000

/** Grants lines in windows of a second, and counts those that are dropped. */
export class LogLineBudget {
  private _windowEnd = 0
  private _lines: Record<EventKind, number> = { routine: 0, move: 0, other: 0 }
  private readonly _droppedByEvent = new Map<string, number>()

  /** Whether the window is over. */
  isWindowOver (now: number): boolean {
    return now >= this._windowEnd
  }

  /** Starts a window. Returns the lines that were dropped in the last one, by event, the most frequent first. */
  startWindow (now: number): ReadonlyMap<string, number> {
    const dropped = new Map([...this._droppedByEvent].sort(([, left], [, right]) => right - left))
    this._windowEnd = now + WINDOW_MILLISECONDS
    this._lines = { routine: 0, move: 0, other: 0 }
    this._droppedByEvent.clear()
    return dropped
  }

  /** Whether a line of an event may still be written in this window; counts it. */
  take (event: string): boolean {
    const kind = ROUTINE_EVENTS.has(event) ? 'routine' : MOVE_EVENTS.has(event) ? 'move' : 'other'
    if (this._lines[kind] >= MAXIMUM_LINES_PER_SECOND[kind]) return false
    this._lines[kind] += 1
    return true
  }

  /** Counts a line that isn't written. */
  drop (event: string): void {
    this._droppedByEvent.set(event, (this._droppedByEvent.get(event) ?? 0) + 1)
  }
}
