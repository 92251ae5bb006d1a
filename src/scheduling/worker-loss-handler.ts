/**
 * The runs that are lost with their worker.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import type { AttributedCrash } from './attributed-crash.js'
import type { CrashAttributionPolicy } from './crash-attribution-policy.js'
import type { FleetSchedule } from './fleet-schedule.js'
import type { FleetWorker } from './fleet-worker.js'
import type { LeaseBounds } from './lease-bounds.js'
import type { ScheduledTask } from './scheduled-task.js'
import type { WorkerEntry } from './worker-entry.js'

/** Age of the registry's view above which a planned end may be missing in it, in milliseconds: for so long a worker announces its shutdown. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 2_000

/** Time for which the loss of a worker is kept, to find out whether it had crashed, in milliseconds. */
const LOSS_RETENTION_MILLISECONDS = 60_000

/** A worker that refused connections until its lease expired: it has crashed if another incarnation takes its place. */
interface ExpiredWorker {
  readonly entry: WorkerEntry
  readonly forgetAt: number
  readonly crashes: readonly AttributedCrash[]
}

/** Requeues the runs of a worker whose incarnation has ended or whose lease has expired, and records whether it crashed under them. */
export class WorkerLossHandler {
  private _expiredWorkers: readonly ExpiredWorker[] = []

  /** @param _registryFreshAt returns the epoch milliseconds as of which the registry is known. */
  constructor (
    private readonly _schedule: FleetSchedule, private readonly _leaseBounds: LeaseBounds, private readonly _attribution: CrashAttributionPolicy, private readonly _registryFreshAt: () => number,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {}

  /**
   * Handles proof that an incarnation of a worker has ended. Unless its end was planned it has crashed.
   *
   * @param lost the tasks whose runs ended with it; those of the worker's other tasks may be on its next incarnation.
   * @param survivors the tasks whose runs certainly are.
   */
  incarnationEnded (worker: FleetWorker, cause: 'replaced' | 'worker restarted', lost: readonly ScheduledTask[], survivors: readonly ScheduledTask[] = []): void {
    const isCrash = this._isUnplanned(worker)
    const crashes = isCrash ? this._attribution.attribute(worker).filter(({ task }) => !survivors.includes(task)) : []
    this._metrics.count('workers.ended', 1, isCrash ? 'unplanned' : 'planned')
    this._logLoss('worker ended', worker, cause, crashes)
    for (const task of lost) this._schedule.runLost(task, cause)
    if (worker.hasLeaseBound) this._leaseBounds.withdraw(worker)
    for (const { task, run, role } of crashes) this._schedule.recordCrash(task, { run, role })
  }

  /** Handles the expiry of a worker's lease: the worker has killed its runs, or it has ended. */
  leaseExpired (worker: FleetWorker): void {
    if (worker.tasks.size === 0) return
    const crashes = worker.refusesConnections && this._isUnplanned(worker) ? this._attribution.attribute(worker) : []
    this._logLoss('worker lease expired', worker, 'lease expired', crashes)
    for (const task of [...worker.tasks]) this._schedule.runLost(task, 'lease expired')
    if (worker.hasLeaseBound) this._leaseBounds.withdraw(worker)
    if (worker.hasSuccessor) for (const { task, run, role } of crashes) this._schedule.recordCrash(task, { run, role })
    else if (crashes.length > 0) this._expiredWorkers = [...this._expiredWorkers, { entry: worker.entry, forgetAt: this._clock.now() + LOSS_RETENTION_MILLISECONDS, crashes }]
  }

  /** Records the crashes of a worker whose lease had expired before another incarnation took its place. */
  workerListed (entry: WorkerEntry): void {
    if (this._expiredWorkers.length === 0) return
    const now = this._clock.now()
    const isSuccessor = (earlier: WorkerEntry): boolean => entry.incarnation > earlier.incarnation && (entry.id === earlier.id || entry.address === earlier.address)
    const crashed = this._expiredWorkers.filter(({ entry: earlier }) => isSuccessor(earlier))
    this._expiredWorkers = this._expiredWorkers.filter(expired => expired.forgetAt > now && !crashed.includes(expired))
    for (const { task, run, role } of crashed.flatMap(({ crashes }) => crashes)) this._schedule.recordCrash(task, { run, role })
  }

  /** Whether the worker was not about to end when it became unreachable, as far as the registry was known by then. */
  private _isUnplanned ({ isLeaving, unreachableSince }: FleetWorker): boolean {
    const endedBy = unreachableSince === 0 ? this._clock.now() : unreachableSince
    return !isLeaving && this._registryFreshAt() >= endedBy - MAXIMUM_VIEW_AGE_MILLISECONDS
  }

  /** Logs what tells a crash from other losses, and for how long each run had been active when the worker was last heard. */
  private _logLoss (event: string, worker: FleetWorker, cause: string, crashes: readonly AttributedCrash[]): void {
    const { entry: { id, incarnation }, isLeaving, lastReportAt, unreachableSince, refusesConnections, tasks } = worker
    this._log.emit(event, {
      worker: id,
      incarnation,
      cause,
      isLeaving,
      refusesConnections,
      heardAt: Math.round(lastReportAt),
      unreachableSince: Math.round(unreachableSince),
      registryAt: Math.round(this._registryFreshAt()),
      suspects: crashes.filter(({ role }) => role !== 'bystander').length,
      runs: [...tasks].map(({ name, run, runState, startOrderedAt }) => `${name}/${run} ${runState} ${startOrderedAt === 0 ? 'inherited' : Math.round(lastReportAt - startOrderedAt)}`)
    })
  }
}
