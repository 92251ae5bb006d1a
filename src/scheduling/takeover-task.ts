/**
 * Recovery of the schedule by a new owner.
 */
import type { JobTable } from '../jobs/job-table.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { FleetSchedule } from './fleet-schedule.js'
import type { LeaseBounds } from './lease-bounds.js'
import type { WorkerRegistryFollowerTask } from './worker-registry-follower-task.js'
import type { WorkerTable } from './worker-table.js'

/** Waits for the worker registry to load, restores all jobs from the journal, then runs the placement task. */
export class TakeoverTask extends Task {
  override readonly name = 'adoption'
  private _isDone = false

  constructor (
    private readonly _jobTable: JobTable, private readonly _registry: WorkerRegistryFollowerTask, private readonly _workers: WorkerTable, private readonly _leaseBounds: LeaseBounds, private readonly _schedule: FleetSchedule,
    private readonly _placement: Task, private readonly _clock: Clock
  ) {
    super()
  }

  /** Whether the schedule knows all workers and the tasks placed on them. Before that, an idle VM cannot be told from a busy one. */
  get isDone (): boolean {
    return this._isDone
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!this._registry.isLoaded && !signal.aborted) await this._registry.changed.wait(this._clock, Infinity, signal)
    if (signal.aborted) return
    for (const job of this._jobTable.jobs) this._schedule.jobSubmitted(job)
    this._jobTable.observer = this._schedule
    this._leaseBounds.adopt(this._workers.all)
    this._isDone = true
    await this._placement.run(signal)
  }
}
