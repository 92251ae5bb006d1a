/**
 * Numbers of placements, and which of their starts may be on their way.
 */
import type { SettledStarts } from '../jobs/settled-starts.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'

/**
 * Limit on the starts that await a response. Renewals of leases share the owner's processor and link with the starts, and a start that isn't answered in time costs a stop as well: the limit
 * keeps an owner that can start 100 runs in a second from delaying renewals by more than half of a lease.
 */
const MAXIMUM_PENDING_STARTS = 256

/** Limit on the exceptions in a record: those starts, and as many that got no response. Starts beyond it hold the watermark back. */
const MAXIMUM_EXCEPTIONS = 2 * MAXIMUM_PENDING_STARTS

/**
 * Numbers the placements of all owners, bounds how many starts are under way at a time, and tells the owners after this one which starts are no longer on their way: they may conclude from the
 * end of a worker that such a run has ended, whereas a start on its way may reach the worker's next incarnation.
 */
export class UnsettledStarts {
  private readonly _tasks = new Set<ScheduledTask>()
  private _pendingCount = 0
  private _nextNumber: number
  private _isInheritanceComplete = false
  private _written: SettledStarts

  /** @param _earlier what the journal says of the starts of earlier owners. */
  constructor (private readonly _earlier: SettledStarts) {
    this._nextNumber = Math.max(1, _earlier.before, ...this._earlier.except.map(number => number + 1))
    this._written = _earlier
  }

  /** Returns the number of the next placement. */
  takeNumber (): number {
    this._nextNumber += 1
    return this._nextNumber - 1
  }

  /** Adds a task whose placement has been decided on. */
  add (task: ScheduledTask): void {
    if (!this._tasks.has(task)) this._pendingCount += 1
    this._tasks.add(task)
  }

  /** Applies to a task that an earlier owner has placed what the journal says of its start. */
  inherit (task: ScheduledTask): void {
    const { placementNumber: number } = task
    this._nextNumber = Math.max(this._nextNumber, number + 1)
    if (number > 0 && number < this._earlier.before && !this._earlier.except.includes(number)) task.isStarted = true
    if (task.isStartUnsettled) this._tasks.add(task)
  }

  /** Records that all tasks that earlier owners have placed are known, so that the watermark may rise. */
  completeInheritance (): void {
    this._isInheritanceComplete = true
  }

  /** Forgets the tasks whose start is settled. */
  update (): void {
    for (const task of this._tasks) if (!task.isStartUnsettled) this._tasks.delete(task)
    this._pendingCount = [...this._tasks].filter(({ isStartPending }) => isStartPending).length
  }

  /** Whether nothing more should be placed for now, as of the last update. */
  get isFull (): boolean {
    return this._pendingCount >= MAXIMUM_PENDING_STARTS
  }

  /** Returns which starts are settled if that has changed since the last call, or null. Placements without a number are never taken for settled. */
  takeChange (): SettledStarts | null {
    if (!this._isInheritanceComplete) return null
    this.update()
    const numbers = [...this._tasks].map(({ placementNumber }) => placementNumber).filter(number => number > 0).sort((left, right) => left - right)
    const settled = { before: numbers[MAXIMUM_EXCEPTIONS] ?? this._nextNumber, except: numbers.slice(0, MAXIMUM_EXCEPTIONS) }
    const { before, except } = this._written
    if (settled.before === before && settled.except.length === except.length && settled.except.every((number, index) => number === except[index])) return null
    this._written = settled
    return settled
  }
}
