/**
 * Detection of workers that are lost with their runs.
 */
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { LateStartEnds } from './late-start-ends.js'
import type { LeaseBounds } from '../leases/lease-bounds.js'
import type { WorkerEnds } from '../workers/worker-ends.js'
import type { WorkerLossHandler } from '../workers/worker-loss-handler.js'
import type { WorkerTable } from '../workers/worker-table.js'

/**
 * Finds silent workers that have ended according to the platform, or whose lease has expired. Both count only when two checks in a row find them: a report may have
 * arrived that this process, held up until now, reads before the second one.
 */
export class LostWorkerDetector {
  /** Workers whose end the platform had shown, or whose lease had expired, in the last check. */
  private _endedWorkers: ReadonlySet<FleetWorker> = new Set()
  private _expiredWorkers: ReadonlySet<FleetWorker> = new Set()

  constructor (private readonly _workers: WorkerTable, private readonly _ends: WorkerEnds, private readonly _leaseBounds: LeaseBounds, private readonly _losses: WorkerLossHandler, private readonly _lateStarts: LateStartEnds) {}

  /**
   * Treats the runs of lost workers as lost. Returns whether the next check should follow soon.
   *
   * @param now epoch milliseconds.
   * @param nextCheckAt epoch milliseconds by which the next check takes place.
   */
  check (now: number, nextCheckAt: number): boolean {
    const isSecondCheckNeeded = [this._checkEnds(nextCheckAt), this._checkLeases(now)].includes(true)
    this._lateStarts.check(now)
    return isSecondCheckNeeded
  }

  private _checkEnds (nextCheckAt: number): boolean {
    const silent = [...this._workers.all].filter(worker => worker.isSilent && worker.isNeeded)
    if (silent.length > 0) this._ends.expectUntil(nextCheckAt)
    const ended = silent.filter(worker => this._tasksShownToEnd(worker).length > 0)
    for (const worker of ended) {
      const end = this._endedWorkers.has(worker) ? this._ends.endOf(worker) : null
      if (end !== null) this._losses.endShown(worker, end, this._tasksShownToEnd(worker))
    }
    const isAnyNew = ended.some(worker => !this._endedWorkers.has(worker))
    this._endedWorkers = new Set(ended)
    return isAnyNew
  }

  private _checkLeases (now: number): boolean {
    this._workers.refreshInheritedLeases()
    const isAnyOverdue = this._leaseBounds.refresh(this._workers.all, now)
    const expired = [...this._workers.all].filter(worker => worker.hasBeenTried && this._tasksExpired(worker, now).length > 0)
    for (const worker of expired) if (this._expiredWorkers.has(worker)) this._losses.leaseExpired(worker, this._tasksExpired(worker, now))
    const isAnyNew = isAnyOverdue || expired.some(worker => !this._expiredWorkers.has(worker))
    this._expiredWorkers = new Set(expired)
    return isAnyNew
  }

  /** Tasks whose runs are over because the platform shows the end of their worker, by what it says of the time after they began. */
  private _tasksShownToEnd (worker: FleetWorker): ScheduledTask[] {
    const isReplaced = this._ends.isReplaced(worker)
    return [...worker.tasks].filter(task => isReplaced ? !task.isStartPending : this._ends.endOf(worker, worker.endEvidenceFrom(task)) !== null)
  }

  /** Tasks whose runs are over because no lease serves them any more. */
  private _tasksExpired (worker: FleetWorker, now: number): ScheduledTask[] {
    if (worker.tasks.size === 0 || worker.leaseExpiresAt >= now) return []
    return [...worker.tasks].filter(task => worker.expiryOf(task) < now)
  }
}
