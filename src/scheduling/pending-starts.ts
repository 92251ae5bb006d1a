/**
 * Runs that have been decided on and whose start has no outcome yet.
 */
import type { ScheduledTask } from './scheduled-task.js'

/**
 * Limit on such runs. Renewals of leases share the owner's processor and link with the starts, and a start that isn't answered in time costs a stop as well: the limit
 * keeps an owner that can start 100 runs in a second from delaying renewals by more than half of a lease.
 */
const MAXIMUM_PENDING_STARTS = 256

/** Bounds how many starts are under way at a time. */
export class PendingStarts {
  private readonly _tasks = new Set<ScheduledTask>()

  /** Adds a task whose placement has been decided on. */
  add (task: ScheduledTask): void {
    this._tasks.add(task)
  }

  /** Forgets the tasks whose start has been answered, or isn't sent any more. */
  update (): void {
    for (const task of this._tasks) if (!task.isStartPending) this._tasks.delete(task)
  }

  /** Whether nothing more should be placed for now, as of the last update. */
  get isFull (): boolean {
    return this._tasks.size >= MAXIMUM_PENDING_STARTS
  }
}
