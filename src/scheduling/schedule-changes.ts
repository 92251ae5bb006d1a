/**
 * Notice of changes to the schedule.
 */
import { JobObserver } from '../jobs/job-observer.js'
import { Notifier } from '../supervision/notifier.js'

/** Counts the changes that may make a task placeable, and wakes the placement task after each. */
export abstract class ScheduleChanges extends JobObserver {
  /** Wakes the placement task after a change that may make a task placeable. */
  readonly changed = new Notifier()
  private _changeCount = 0

  /** Number of changes so far. Compare it with an earlier value before waiting on `changed`, so that no change is missed. */
  get changeCount (): number {
    return this._changeCount
  }

  /** Wakes the placement task after a change, including one outside the schedule. */
  markChanged (): void {
    this._changeCount += 1
    this.changed.notify()
  }
}
