/**
 * The placements of earlier owners, as a new owner takes them over.
 */
import type { AttributedCrash } from '../crashes/attributed-crash.js'
import type { CrashAttributionPolicy } from '../crashes/crash-attribution-policy.js'
import type { FleetTime } from '../jobs/fleet-time.js'
import type { Clock } from '../supervision/clock.js'
import type { ResourceReservations } from '../placement/resource-reservations.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { UnsettledStarts } from './unsettled-starts.js'
import type { WorkerTable } from '../workers/worker-table.js'

/** Reserves each task's place on its worker, in the incarnation that is known by now. */
export class InheritedPlacements {
  /** @param _maximumCallDelayMilliseconds longest time from a call without a response until it may be carried out. */
  constructor (
    private readonly _workers: WorkerTable, private readonly _reservations: ResourceReservations, private readonly _unsettledStarts: UnsettledStarts, private readonly _attribution: CrashAttributionPolicy, private readonly _maximumCallDelayMilliseconds: number,
    private readonly _fleetTime: FleetTime, private readonly _clock: Clock
  ) {}

  /** Binds a task to the worker to which an earlier owner has sent a start that may still be carried out. */
  restoreLateStart (task: ScheduledTask): void {
    const { lateStart } = task
    if (!lateStart) return
    const sentBy = this._fleetTime.latestLocal(lateStart.until - this._maximumCallDelayMilliseconds)
    const until = Math.min(sentBy + this._maximumCallDelayMilliseconds, this._workers.inheritedStartsOverAt)
    task.lateStart = { ...lateStart, until: this._fleetTime.fromLocal(until) }
    this._workers.findOrAddPlaceholder(lateStart.worker, lateStart.incarnation, task.reservation).bind(task, this._clock.now())
  }

  /**
   * Restores the placement of a task. A later incarnation of its worker may have received the start, or may do so until this owner has called it, unless the earlier one had reported the run.
   *
   * @returns whether the registry shows a later incarnation than the journal, and the crashes to record.
   */
  restore (task: ScheduledTask): { isRestarted: boolean, crashes: readonly AttributedCrash[] } {
    this._unsettledStarts.inherit(task)
    const worker = this._workers.findOrAddPlaceholder(task.workerId, task.incarnation, task.reservation)
    const isRestarted = worker.entry.incarnation > task.incarnation
    // A worker registers some time after its start, when its reports may already be in the journal.
    if (worker.entry.incarnation < task.incarnation) {
      worker.startIncarnation(task.incarnation, this._clock.now(), this._workers.unknownLeasesExpireAt)
      this._workers.inheritFormerOrders(worker)
    }
    if (isRestarted) task.placedAtClock = 0
    const crashes = isRestarted ? this._attribution.attributeInherited(task, worker, task.incarnation) : []
    task.incarnation = worker.entry.incarnation
    task.runState = 'inherited'
    this._reservations.reserve(task, worker)
    return { isRestarted, crashes }
  }
}
