/**
 * Begins a term's work.
 */
import type { JobTable } from '../jobs/job-table.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { FleetSchedule } from './fleet-schedule.js'
import type { WorkerRegistryFollowerTask } from './worker-registry-follower-task.js'

/** Waits for the workers' registry, takes over all jobs, then runs the placement. */
export class TakeoverTask extends Task {
  override readonly name = 'adoption'
  private _isDone = false

  constructor (
    private readonly _book: JobTable, private readonly _directory: WorkerRegistryFollowerTask, private readonly _schedule: FleetSchedule,
    private readonly _placement: Task, private readonly _clock: Clock
  ) {
    super()
  }

  /** Whether the schedule knows all workers and what runs on them: before that an idle VM can't be told from a busy one. */
  get isDone (): boolean {
    return this._isDone
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!this._directory.isLoaded && !signal.aborted) await this._directory.changed.wait(this._clock, Infinity, signal)
    if (signal.aborted) return
    for (const job of this._book.jobs) this._schedule.jobSubmitted(job)
    this._book.observer = this._schedule
    this._isDone = true
    await this._placement.run(signal)
  }
}
