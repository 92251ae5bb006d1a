/**
 * The outcomes of start and stop orders.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import type { FleetSchedule } from '../scheduling/fleet-schedule.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { RunOutcomeObserver } from '../worker-health/run-outcome-observer.js'
import type { WorkerError } from '../workers/worker-error.js'
import type { WorkerTable } from '../workers/worker-table.js'

/** Time during which a worker that refused a start order gets no new tasks, in milliseconds. */
const REFUSAL_COOLDOWN_MILLISECONDS = { refused: 150, unhealthy: 1_000 } as const

/** Time during which other workers go before one that did not respond to a start order, in milliseconds; it may report all the same. */
const AVOIDANCE_MILLISECONDS = 10_000

/** Applies to the schedule what became of the orders for runs. */
export class StartOutcomeHandler {
  constructor (
    private readonly _schedule: FleetSchedule, private readonly _jobs: ScheduledJobTable, private readonly _workers: WorkerTable, private readonly _outcomes: RunOutcomeObserver,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {}

  /**
   * Records that the worker accepted the start order, in the incarnation that is known unless the reading of its clock says otherwise.
   *
   * @param sentAt epoch milliseconds at which the order was sent.
   * @param workerClock that reading, in milliseconds; null if the response has none.
   */
  startAccepted (task: ScheduledTask, worker: FleetWorker, run: number, sentAt: number, workerClock: number | null): void {
    if (task.run !== run || task.worker !== worker) return
    const now = this._clock.now()
    const isFromOther = workerClock === null ? null : worker.clockEstimate.isFromOther(workerClock, sentAt, now)
    this._outcomes.startAccepted(worker)
    task.hasBegun = true
    if (task.runState === 'starting') task.runState = 'running'
    task.confirmedAt = now
    task.startCallEndsAt = now
    if (!task.isReported) task.evidenceFrom = isFromOther === false ? 0 : now
    if (isFromOther) this._restartSuspected(task, worker, workerClock)
    // On its way, as far as later owners may conclude from the end of the known incarnation.
    if (task.evidenceFrom === 0) this._schedule.recordStart(task)
  }

  /** Requeues a task whose start order was refused or never sent: the run does not exist. */
  startRefused (task: ScheduledTask, worker: FleetWorker, run: number, error: WorkerError): void {
    if (task.run !== run || task.worker !== worker) return
    this._metrics.count('runs.refused', 1, error.kind)
    this._log.emit('start refused', { task: task.name, run, worker: worker.entry.id, cause: error.kind, detail: error.message })
    const cooldown = error.kind === 'unhealthy' ? REFUSAL_COOLDOWN_MILLISECONDS.unhealthy : REFUSAL_COOLDOWN_MILLISECONDS.refused
    worker.cooldownUntil = Math.max(worker.cooldownUntil, this._clock.now() + cooldown)
    if (task.step.definition.isGang) this._schedule.stopOtherGangMembers(task)
    this._schedule.requeue(task)
  }

  /**
   * Records that a start order got no response: the run may exist or may still start. The caller stops it.
   *
   * @param sentAt epoch milliseconds at which the order was sent.
   * @param token its fencing token.
   */
  startUnconfirmed (task: ScheduledTask, worker: FleetWorker, run: number, sentAt: number, token: number): void {
    this._workers.suspect(worker, sentAt)
    this._outcomes.startUnanswered(worker, sentAt)
    worker.unsettledRuns.set(`${task.name}/${run}`, token)
    worker.avoidedUntil = this._clock.now() + AVOIDANCE_MILLISECONDS
    if (task.run !== run || task.worker === null) return
    task.startCallEndsAt = this._clock.now()
    this._metrics.count('runs.unsettled')
    this._log.emit('start unsettled', { task: task.name, run, worker: task.workerId, token })
    task.hasBegun = true
    task.runState = 'settling'
    if (task.step.definition.isGang) this._schedule.stopOtherGangMembers(task)
  }

  /** Records that the worker confirmed the stop of a run: a report requested from now on shows whether the run exists. */
  stopConfirmed (worker: FleetWorker, taskName: string, run: number): void {
    this.stopRefused(worker, taskName, run)
    const task = this._jobs.findTask(taskName)?.findRun(worker, run)
    if (!task) return
    task.confirmedAt = Math.min(task.confirmedAt, this._clock.now())
  }

  /** Whether the stop of a run has to be repeated: the run may exist, or may begin. */
  isStopNeeded (worker: FleetWorker, taskName: string, run: number): boolean {
    const current = this._jobs.findTask(taskName)?.findRun(worker, run) ?? null
    return worker.hasOrphanedRuns || worker.unsettledRuns.has(`${taskName}/${run}`) || current !== null
  }

  /** Records that the worker answered the stop of a run, so that it is not repeated. */
  stopRefused (worker: FleetWorker, taskName: string, run: number): void {
    worker.unsettledRuns.delete(`${taskName}/${run}`)
  }

  /** The worker is called at once: only a report names the incarnation. */
  private _restartSuspected ({ name, run }: ScheduledTask, worker: FleetWorker, workerClock: number | null): void {
    const { earliest, latest } = worker.clockEstimate.read(this._clock.now())
    this._metrics.count('workers.suspected_restarts')
    this._log.emit('start accepted by another incarnation', { task: name, run, worker: worker.entry.id, known: worker.entry.incarnation, clock: workerClock, earliest: Math.round(earliest), latest: Math.round(latest) })
    worker.suspectRestart(this._clock.now())
  }
}
