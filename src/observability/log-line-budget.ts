/**
 * Limits how many log lines are written per second.
 */

/** Kinds of events that have limits of their own, so that a flood of one doesn't hide the others. */
type EventKind = 'call' | 'run' | 'move' | 'other'

/** Kinds of the events that requests, runs and moves of VMs cause. */
const KIND_BY_EVENT: ReadonlyMap<string, EventKind> = new Map([['job call', 'call'], ['runs placed', 'run'], ['runs completed', 'run'], ['move ordered', 'move'], ['move finished', 'move']])

/** Lines written per second; more are dropped and counted. Limits the processor time that logging takes. Those of calls and of runs count together as well. */
const MAXIMUM_LINES_PER_SECOND: Readonly<Record<EventKind, number>> = { call: 300, run: 300, move: 100, other: 150 }
const MAXIMUM_CALL_AND_RUN_LINES_PER_SECOND = 300

/** Lines per second that calls leave to runs in a process that runs any: an owner writes up to 100 lines per second of placements and completions that aren't full, and with 400 placements per second some 20 full ones. */
const LINES_RESERVED_FOR_RUNS = 150

/** Window to which the limits apply, in milliseconds; a shorter one would let more lines through per second. */
const WINDOW_MILLISECONDS = 1_000

/** Grants lines in windows of a second, and counts those that are dropped. */
export class LogLineBudget {
  private _windowEnd = 0
  private _lines: Record<EventKind, number> = { call: 0, run: 0, move: 0, other: 0 }
  /** Whether lines of runs came in the last window. */
  private _hadRuns = false
  private readonly _droppedByEvent = new Map<string, number>()

  /** Whether the window is over. */
  isWindowOver (now: number): boolean {
    return now >= this._windowEnd
  }

  /** Starts a window. Returns the lines that were dropped in the last one, by event, the most frequent first. */
  startWindow (now: number): ReadonlyMap<string, number> {
    const dropped = new Map([...this._droppedByEvent].sort(([, left], [, right]) => right - left))
    this._windowEnd = now + WINDOW_MILLISECONDS
    this._hadRuns = this._lines.run > 0
    this._lines = { call: 0, run: 0, move: 0, other: 0 }
    this._droppedByEvent.clear()
    return dropped
  }

  /** Whether a line of an event may still be written in this window; counts it. */
  take (event: string): boolean {
    const kind = KIND_BY_EVENT.get(event) ?? 'other'
    if (this._lines[kind] >= MAXIMUM_LINES_PER_SECOND[kind] || this._isRoutineUsedUp(kind)) return false
    this._lines[kind] += 1
    return true
  }

  /** Whether lines of an event come with requests, runs or moves, and so in large numbers. */
  isRoutine (event: string): boolean {
    return KIND_BY_EVENT.has(event)
  }

  /** Counts a line that isn't written. */
  drop (event: string): void {
    this._droppedByEvent.set(event, (this._droppedByEvent.get(event) ?? 0) + 1)
  }

  /** Whether the lines of calls and runs together leave none for one more of a kind. */
  private _isRoutineUsedUp (kind: EventKind): boolean {
    const { call, run } = this._lines
    if (kind === 'run') return call + run >= MAXIMUM_CALL_AND_RUN_LINES_PER_SECOND
    const reserved = this._hadRuns || run > 0 ? Math.max(LINES_RESERVED_FOR_RUNS, run) : 0
    return kind === 'call' && call + reserved >= MAXIMUM_CALL_AND_RUN_LINES_PER_SECOND
  }
}
