/**
 * The runs that are lost with their worker.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import type { AttributedCrash } from '../crashes/attributed-crash.js'
import type { CrashAttributionPolicy } from '../crashes/crash-attribution-policy.js'
import type { FleetSchedule } from '../scheduling/fleet-schedule.js'
import type { FleetWorker } from './fleet-worker.js'
import type { LeaseBounds } from '../leases/lease-bounds.js'
import type { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { RunOutcomeObserver } from '../worker-health/run-outcome-observer.js'
import type { WorkerEntry } from '../workers/worker-entry.js'

/** Age of the registry's view above which a planned end may be missing in it, in milliseconds: for so long a worker announces its shutdown. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 2_000

/** Time for which a possible crash is kept if the worker refused connections, to find out whether it had crashed, in milliseconds. */
const UNPROVEN_RETENTION_MILLISECONDS = 60_000

/** Requeues the runs of a worker whose incarnation has ended or whose lease has expired, and records whether it crashed under them. */
export class WorkerLossHandler {
  /** @param _registryFreshAt returns the epoch milliseconds as of which the registry is known. */
  constructor (
    private readonly _schedule: FleetSchedule, private readonly _jobs: ScheduledJobTable, private readonly _leaseBounds: LeaseBounds, private readonly _attribution: CrashAttributionPolicy, private readonly _outcomes: RunOutcomeObserver, private readonly _registryFreshAt: () => number,
    private readonly _fleetTime: FleetTime, private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {}

  /**
   * Handles proof that an incarnation of a worker has ended. Unless its end was planned it has crashed.
   *
   * @param lost the tasks whose runs ended with it; those of the worker's other tasks may be on its next incarnation.
   * @param survivors the tasks whose runs certainly are, or were accepted after its end.
   */
  incarnationEnded (worker: FleetWorker, cause: 'replaced' | 'worker restarted', lost: readonly ScheduledTask[], survivors: readonly ScheduledTask[] = []): void {
    const isCrash = this._isUnplanned(worker)
    const crashes = isCrash ? this._attribution.attribute(worker).filter(({ task }) => !survivors.includes(task)) : []
    this._metrics.count('workers.ended', 1, isCrash ? 'unplanned' : 'planned')
    this._logLoss('worker ended', worker, cause, crashes)
    if (isCrash && lost.length > 0) this._outcomes.workerLost(worker, crashes)
    for (const task of lost) this._schedule.runLost(task, cause)
    if (worker.hasLeaseBound) this._leaseBounds.withdraw(worker)
    for (const { task, run, role, evidence } of crashes) this._schedule.recordCrash(task, { run, role, evidence })
  }

  /**
   * Handles the expiry of a worker's lease: the worker has killed the runs of the tasks in `lost`, or it has ended. One that refused connections until then has crashed if another
   * incarnation takes its place, which a later owner may see.
   */
  leaseExpired (worker: FleetWorker, lost: readonly ScheduledTask[]): void {
    const crashes = worker.refusesConnections && this._isUnplanned(worker) ? this._attribution.attribute(worker) : []
    this._logLoss('worker lease expired', worker, 'lease expired', crashes)
    this._release(worker, lost, 'lease expired', crashes)
  }

  /**
   * Handles an end that the platform shows. Unless it was planned the worker has crashed if another incarnation takes its place, which a later owner may see: it may as well be gone for good.
   *
   * @param lost the tasks whose runs are over; starts of the others may still be on their way.
   */
  endShown (worker: FleetWorker, end: 'by-order' | 'unexplained', lost: readonly ScheduledTask[]): void {
    const isUnplanned = end === 'unexplained' && this._isUnplanned(worker)
    const crashes = isUnplanned ? this._attribution.attribute(worker) : []
    this._logLoss('worker end shown', worker, end, crashes)
    if (isUnplanned) this._outcomes.workerLost(worker, crashes)
    this._release(worker, lost, 'the platform shows that its worker has ended', crashes)
  }

  /** Records the crashes of a worker whose lease had expired before another incarnation took its place. */
  workerListed ({ id, address, incarnation }: WorkerEntry): void {
    const now = this._fleetTime.now()
    for (const task of [...this._jobs.tasksWithUnprovenCrashes]) {
      task.crashes.forgetUnproven(now)
      const proved = task.crashes.provedBy(end => incarnation > end.incarnation && (id === end.worker || address === end.address))
      for (const crash of proved) this._schedule.recordCrash(task, crash)
      this._jobs.updateUnprovenCrashes(task)
    }
  }

  /** Forgets the possible crashes of a worker that has reported: it had only been unreachable. */
  workerReported ({ id, incarnation }: WorkerEntry): void {
    for (const task of [...this._jobs.tasksWithUnprovenCrashes]) {
      if (!task.crashes.disprove(id, incarnation)) continue
      this._schedule.writeProgress(task)
      this._jobs.updateUnprovenCrashes(task)
    }
  }

  /** Requeues tasks, together with the possible crashes in the same records, so that no owner can be lost between the two. */
  private _release (worker: FleetWorker, tasks: readonly ScheduledTask[], cause: string, crashes: readonly AttributedCrash[]): void {
    if (!worker.hasSuccessor) for (const crash of crashes) this._recordUnproven(worker, crash)
    for (const task of tasks) this._schedule.runLost(task, cause)
    if (worker.hasLeaseBound && worker.tasks.size === 0) this._leaseBounds.withdraw(worker)
    if (worker.hasSuccessor) for (const { task, run, role, evidence } of crashes) this._schedule.recordCrash(task, { run, role, evidence })
  }

  /** A worker that was only silent has crashed if it is back before its lease would have expired; otherwise its VM was probably lost. */
  private _recordUnproven ({ entry: { id, address, incarnation }, refusesConnections, leaseExpiresAt }: FleetWorker, { task, run, role, evidence }: AttributedCrash): void {
    const forgetAt = refusesConnections ? this._fleetTime.now() + UNPROVEN_RETENTION_MILLISECONDS : this._fleetTime.fromLocal(leaseExpiresAt)
    task.crashes.recordUnproven({ run, role, evidence, unprovenEnd: { worker: id, address, incarnation, forgetAt: Math.round(forgetAt) } })
    if (role !== 'unconfirmed') task.awaitIsolation(this._clock.now())
    this._jobs.updateUnprovenCrashes(task)
  }

  /** Whether the worker was not about to end when it became unreachable, as far as the registry was known by then. */
  private _isUnplanned ({ isLeaving, unreachableSince }: FleetWorker): boolean {
    const endedBy = unreachableSince === 0 ? this._clock.now() : unreachableSince
    return !isLeaving && this._registryFreshAt() >= endedBy - MAXIMUM_VIEW_AGE_MILLISECONDS
  }

  /** Logs what tells a crash from other losses, and for how long each run had been active when the worker was last heard. */
  private _logLoss (event: string, worker: FleetWorker, cause: string, crashes: readonly AttributedCrash[]): void {
    const { entry: { id, incarnation }, isLeaving, isYoung, lastReportAt, unreachableSince, refusesConnections, leaseExpiresAt, leaseBasis, tasks } = worker
    this._log.emit(event, {
      worker: id,
      incarnation,
      cause,
      isLeaving,
      refusesConnections,
      heardAt: Math.round(lastReportAt),
      unreachableSince: Math.round(unreachableSince),
      leaseExpiresAt: Math.round(leaseExpiresAt),
      leaseBasis,
      isYoung,
      registryAt: Math.round(this._registryFreshAt()),
      suspects: crashes.filter(({ role }) => role !== 'bystander').length,
      runs: [...tasks].map(({ name, run, runState, evidenceFrom, startOrderedAt }) => `${name}/${run} ${runState}${evidenceFrom === 0 ? '' : ' on an unknown incarnation'} ${startOrderedAt === 0 ? 'inherited' : Math.round(lastReportAt - startOrderedAt)}`)
    })
  }
}
