/**
 * The steps of which the owner holds the tasks in memory.
 */
import type { Metrics } from '../observability/metrics.js'
import type { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import type { ScheduledJob } from '../scheduling/scheduled-job.js'

/** Multiple of the limit up to which a job's first occurrence is opened: processes that accept jobs at the same moment may exceed the limit together. */
const FIRST_OCCURRENCE_FACTOR = 1.5

/** Time between two releases of what is done, in milliseconds. */
const RELEASE_INTERVAL_MILLISECONDS = 500

/**
 * Opens occurrences when they are due, and their steps when those before them are done. Beyond a number of tasks, a job of which an occurrence is open gets no
 * further one before others are done, so that no set of stored jobs exceeds the memory of a process. Steps with placed tasks are always open.
 */
export class WorkingSet {
  private _size = 0
  private _nextReleaseAt = 0

  /** @param _maximumTasks limit on the number of tasks. */
  constructor (private readonly _jobs: ScheduledJobTable, private readonly _maximumTasks: number, private readonly _metrics: Metrics) {}

  /** Opens what is due, and from time to time releases what is done. */
  update (now: number): void {
    if (now >= this._nextReleaseAt) this._release(now)
    for (const job of this._jobs.active) {
      this._openOccurrences(job, now)
      this._openSteps(job)
    }
    this._metrics.setGauge('placement.tasks.level', this._size)
  }

  private get _maximumOfFirst (): number {
    return this._maximumTasks * FIRST_OCCURRENCE_FACTOR
  }

  private _release (now: number): void {
    this._nextReleaseAt = now + RELEASE_INTERVAL_MILLISECONDS
    this._size = 0
    for (const job of this._jobs.all) {
      job.closeDone()
      this._size += job.size
    }
  }

  private _openOccurrences (job: ScheduledJob, now: number): void {
    while (job.nextDueAt <= now && this._size < (job.hasOpenOccurrence ? this._maximumTasks : this._maximumOfFirst)) this._size += job.openNextOccurrence().size
  }

  private _openSteps (job: ScheduledJob): void {
    for (const step of job.steps) {
      if (step.isOpen || step.isDone || this._size >= this._maximumOfFirst || !step.isUnblocked) continue
      step.open()
      this._size += step.tasks.length
    }
  }
}
