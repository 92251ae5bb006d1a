/**
 * The runs that are lost with their worker.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { FleetSchedule } from './fleet-schedule.js'
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledTask } from './scheduled-task.js'

/** Requeues the runs of a worker whose incarnation has ended or whose lease has expired. */
export class WorkerLossHandler {
  constructor (private readonly _schedule: FleetSchedule, private readonly _metrics: Metrics, private readonly _log: DecisionLog) {}

  /**
   * Handles proof that an incarnation of a worker has ended.
   *
   * @param lost the tasks whose runs ended with it; those of the worker's other tasks may be on its next incarnation.
   */
  incarnationEnded (worker: FleetWorker, cause: 'replaced' | 'worker restarted', lost: readonly ScheduledTask[]): void {
    this._metrics.count('workers.ended', 1, worker.isLeaving ? 'planned' : 'unplanned')
    this._logLoss('worker ended', worker, cause)
    for (const task of lost) this._schedule.runLost(task, cause)
  }

  /** Handles the expiry of a worker's lease: the worker has killed its runs, or it has ended. */
  leaseExpired (worker: FleetWorker): void {
    if (worker.tasks.size === 0) return
    this._logLoss('worker lease expired', worker, 'lease expired')
    for (const task of [...worker.tasks]) this._schedule.runLost(task, 'lease expired')
  }

  /** Logs what tells a crash from other losses, and for how long each run had been active when the worker was last heard. */
  private _logLoss (event: string, worker: FleetWorker, cause: string): void {
    const { entry: { id, incarnation }, isLeaving, lastReportAt, unreachableSince, refusesConnections, tasks } = worker
    this._log.emit(event, {
      worker: id,
      incarnation,
      cause,
      isLeaving,
      refusesConnections,
      heardAt: Math.round(lastReportAt),
      unreachableSince: Math.round(unreachableSince),
      runs: [...tasks].map(({ name, run, runState, startOrderedAt }) => `${name}/${run} ${runState} ${startOrderedAt === 0 ? 'inherited' : Math.round(lastReportAt - startOrderedAt)}`)
    })
  }
}
