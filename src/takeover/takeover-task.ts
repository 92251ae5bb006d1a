/**
 * Recovery of the schedule by a new owner.
 */
import type { JobTable } from '../jobs/job-table.js'
import type { JobView } from '../jobs/job-view.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { FleetSchedule } from '../scheduling/fleet-schedule.js'
import type { LeaseBounds } from '../leases/lease-bounds.js'
import type { UnsettledStarts } from './unsettled-starts.js'
import type { WorkerLossHandler } from '../workers/worker-loss-handler.js'
import type { WorkerRegistryFollowerTask } from '../workers/worker-registry-follower-task.js'
import type { WorkerTable } from '../workers/worker-table.js'

/** Longest wait for the first reports of workers, in milliseconds: no lease is extended meanwhile. */
const FIRST_REPORTS_MILLISECONDS = 400

/** Waits for the worker registry to load, restores all jobs from the journal, then runs the placement task. */
export class TakeoverTask extends Task {
  override readonly name = 'adoption'
  private _isDone = false

  constructor (
    private readonly _jobTable: JobTable, private readonly _registry: WorkerRegistryFollowerTask, private readonly _workers: WorkerTable, private readonly _leaseBounds: LeaseBounds, private readonly _unsettledStarts: Pick<UnsettledStarts, 'completeInheritance'>, private readonly _schedule: FleetSchedule, private readonly _losses: WorkerLossHandler,
    private readonly _placement: Task, private readonly _clock: Clock, private readonly _log: DecisionLog
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
    const areRestored = [...this._jobTable.jobs].map(job => this._restore(job))
    if (!areRestored.includes(false) && !this._jobTable.hasEarlyDecisions) this._unsettledStarts.completeInheritance()
    for (const { entry } of this._workers.all) this._losses.workerListed(entry)
    this._jobTable.observer = this._schedule
    await this._untilReported(signal)
    if (signal.aborted) return
    this._workers.refreshInheritedLeases()
    this._leaseBounds.adopt(this._workers.all)
    this._isDone = true
    await this._placement.run(signal)
  }

  /** Waits until half of the workers have reported, so that this owner's first record names some: the next owner learns its age from them. */
  private async _untilReported (signal: AbortSignal): Promise<void> {
    const deadline = this._clock.now() + FIRST_REPORTS_MILLISECONDS
    while (!this._hasHalfReported && this._clock.now() < deadline && !signal.aborted) await this._schedule.changed.wait(this._clock, deadline, signal)
  }

  private get _hasHalfReported (): boolean {
    const listed = [...this._workers.all].filter(({ isListed }) => isListed)
    return listed.filter(({ lastReportAt }) => lastReportAt > 0).length >= listed.length / 2
  }

  /** Restores a job; returns whether that succeeded. One that can't be restored doesn't keep the others from running: each next owner would read the same job. */
  private _restore (job: JobView): boolean {
    try {
      this._schedule.jobSubmitted(job)
      return true
    } catch (error) {
      this._log.emit('job not restored', { job: job.submission.id, cause: (error as Error).message })
      return false
    }
  }
}
