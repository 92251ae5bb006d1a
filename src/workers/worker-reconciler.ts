/**
 * Reconciliation of the schedule with the registry entries and reports of workers.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import type { FleetSchedule } from '../scheduling/fleet-schedule.js'
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import { keepsUnconfirmedRun } from '../scheduling/keeps-unconfirmed-run.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { RunLogTask } from '../runs/run-log-task.js'
import type { RunOrderDispatcher } from '../runs/run-order-dispatcher.js'
import type { RunOutcomeObserver } from '../worker-health/run-outcome-observer.js'
import type { WorkerEntry } from '../workers/worker-entry.js'
import type { WorkerLossHandler } from '../workers/worker-loss-handler.js'
import type { WorkerReport } from './worker-report.js'
import type { WorkerTable } from './worker-table.js'

type RunCompletion = WorkerReport['ended'][number]
type ActiveRun = WorkerReport['running'][number]

/** Compares what a worker reports with the runs that the schedule has placed on it. */
export class WorkerReconciler {
  constructor (
    private readonly _schedule: FleetSchedule, private readonly _jobs: ScheduledJobTable, private readonly _workers: WorkerTable, private readonly _dispatcher: RunOrderDispatcher,
    private readonly _losses: WorkerLossHandler, private readonly _runLog: RunLogTask, private readonly _outcomes: RunOutcomeObserver, private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {}

  /**
   * Applies a registry entry. A newer incarnation of a known worker has none of the runs of the previous one. That another worker names the
   * address of a known one doesn't prove that the known one has ended, because others than workers write entries: what responds at the address tells which worker is there.
   */
  applyEntry (entry: WorkerEntry): FleetWorker {
    const known = this._workers.find(entry.id)
    // A report may have shown a newer incarnation before the registry does.
    if (known && known.entry.incarnation > entry.incarnation) return known
    if (known && this._contradicts(known, entry)) {
      this._log.emit('contradictory worker entry ignored', { worker: entry.id, incarnation: entry.incarnation, pool: entry.pool, address: entry.address })
      return known
    }
    if (known && known.entry.incarnation < entry.incarnation) this._startIncarnation(known, entry.incarnation, null, 0)
    if (!known) for (const predecessor of this._workers.unreachableAtAddress(entry)) predecessor.hasSuccessor = true
    const worker = this._workers.applyEntry(entry)
    this._losses.workerListed(entry)
    this._schedule.markChanged()
    return worker
  }

  /**
   * Applies a report. Only a complete one shows that a run doesn't exist.
   *
   * @param requestedAt epoch milliseconds at which the report was requested: it must contain all runs confirmed before.
   * @param token fencing token of that request: the report must contain all runs whose start carried a lower one and will ever begin.
   */
  applyReport (worker: FleetWorker, report: WorkerReport, requestedAt: number, token: number): void {
    // A response that was on its way when the restart became known.
    if (report.incarnation !== 0 && report.incarnation < worker.entry.incarnation && requestedAt < worker.incarnationKnownAt) return
    if (report.incarnation !== 0 && report.incarnation !== worker.entry.incarnation) this._startIncarnation(worker, report.incarnation, report, requestedAt)
    const heardAt = worker.lastReportAt
    this._workers.recordReport(worker, report.clock, requestedAt)
    this._losses.workerReported(worker.entry)
    worker.confirmToken(token)
    this._applyCompletions(worker, report.ended, heardAt)
    this._applyActiveRuns(worker, report, requestedAt, token)
    this._stopUnneededRuns(worker, report.running)
    if (report.unreadableRows !== worker.unreadableRows) this._log.emit('unreadable runs ignored', { worker: worker.entry.id, rows: report.unreadableRows })
    worker.unreadableRows = report.unreadableRows
    if (heardAt === 0) this._schedule.markChanged()
  }

  /** Whether an entry isn't that of the incarnation which it names: a worker keeps its address and its pool for as long as it lives. */
  private _contradicts ({ isEntryCurrent, entry: known }: FleetWorker, entry: WorkerEntry): boolean {
    return isEntryCurrent && known.address !== '' && known.incarnation === entry.incarnation && (known.address !== entry.address || known.pool !== entry.pool)
  }

  private _applyCompletions (worker: FleetWorker, completions: readonly RunCompletion[], heardAt: number): void {
    const newCompletions = completions.filter(({ sequence }) => sequence > worker.appliedSequence)
    if (newCompletions.length === 0) return
    this._runLog.completed(worker.entry.id, newCompletions)
    for (const completion of newCompletions) {
      worker.appliedSequence = Math.max(worker.appliedSequence, completion.sequence)
      this._metrics.count('runs.ended', 1, completion.result)
      const task = this._jobs.findTask(completion.task)
      if (!task) continue
      const current = task.findRun(worker, completion.run)
      this._outcomes.runCompleted(worker, current ?? task, completion, heardAt)
      if (current) this._schedule.runCompleted(current, completion)
      else this._schedule.abandonedRunCompleted(task, completion)
    }
  }

  private _applyActiveRuns (worker: FleetWorker, { clock, running, isComplete }: WorkerReport, requestedAt: number, token: number): void {
    const activeRunsByTask = new Map(running.map(activeRun => [activeRun.task, activeRun]))
    for (const task of [...worker.tasks]) {
      const activeRun = activeRunsByTask.get(task.name)
      if (activeRun?.run === task.run) this._confirmRun(task, activeRun, clock)
      else if (isComplete && (task.runState === 'inherited' || task.confirmedAt < requestedAt || (task.runState === 'settling' && task.startToken < token))) this._schedule.runLost(task, 'not reported by its worker')
      // The earlier stop order may have failed along with the connection; only a confirmed stop shows that the run can no longer start.
      else if (task.runState === 'settling' && !keepsUnconfirmedRun(task)) this._dispatcher.stop(worker, task.name, task.run)
    }
  }

  private _confirmRun (task: ScheduledTask, activeRun: ActiveRun, workerClock: number): void {
    const isFirstReport = !task.isReported
    task.recordReported(this._clock.now(), workerClock)
    this._schedule.recordStart(task)
    if (isFirstReport && task.step.definition.isLasting) this._schedule.writeProgress(task)
    if (task.isStable && !task.crashes.isEmpty) {
      task.crashes.clear()
      this._schedule.writeProgress(task)
    }
    if (activeRun.checkpoint !== '') task.checkpoint = activeRun.checkpoint
    task.progressPercent = activeRun.percent
    task.load = activeRun.load
  }

  /** Stops runs that no current placement accounts for, or whose task or job has finished. */
  private _stopUnneededRuns (worker: FleetWorker, running: readonly ActiveRun[]): void {
    let orphans = 0
    for (const { task: name, run } of running) {
      const current = this._jobs.findTask(name)?.findRun(worker, run)
      if (current) {
        if (current.step.job.isFinished || current.principal.phase === 'done') this._schedule.stop(current)
        continue
      }
      orphans += 1
      this._metrics.count('runs.stray')
      this._log.emit('orphaned run', { task: name, run, worker: worker.entry.id })
      this._dispatcher.stop(worker, name, run)
    }
    if (worker.hasOrphanedRuns && orphans === 0) this._schedule.markChanged()
    worker.hasOrphanedRuns = orphans > 0
  }

  /**
   * Switches a worker to a new incarnation, in which only runs started since its restart exist, such as those that it has reported.
   *
   * @param report first report of the new incarnation, or null if the registry has shown it.
   * @param requestedAt epoch milliseconds at which that report was requested.
   */
  private _startIncarnation (worker: FleetWorker, incarnation: number, report: WorkerReport | null, requestedAt: number): void {
    this._log.emit('worker restarted', { worker: worker.entry.id, from: worker.entry.incarnation, to: incarnation, runs: worker.tasks.size })
    const reported = report ? [...report.running, ...report.ended] : []
    // Another owner may have started a run on the new incarnation; its completion may be in a part of the report that follows.
    const mayFollow = (task: ScheduledTask): boolean => task.runState === 'inherited' && report?.isComplete === false
    const survivors = [...worker.tasks].filter(task => mayFollow(task) || reported.some(other => other.task === task.name && other.run === task.run))
    const lost = [...worker.tasks].filter(task => !survivors.includes(task) && this._isLostWithIncarnation(task, report, requestedAt))
    const accepted = [...worker.tasks].filter(task => task.isConfirmed && !lost.includes(task))
    this._losses.incarnationEnded(worker, 'worker restarted', lost, [...survivors, ...accepted])
    worker.startIncarnation(incarnation, this._clock.now(), this._workers.unknownLeasesExpireAt)
    for (const task of worker.tasks) {
      if (task.runState === 'intended') continue
      task.incarnation = incarnation
      task.placedAtClock = 0
      task.isReported = false
      // The previous incarnation may have answered the stop.
      if (task.runState === 'settling') task.confirmedAt = Infinity
      this._schedule.writeProgress(task)
    }
    this._schedule.markChanged()
  }

  /**
   * Whether the run of a task has ended with the previous incarnation of its worker. Until this owner has called the new one, a start that was sent to the previous one may still begin there, or may
   * have: then only a report shows that it hasn't which was requested after the start had been accepted.
   */
  private _isLostWithIncarnation ({ runState, isReported, isConfirmed, evidenceFrom }: ScheduledTask, report: WorkerReport | null, requestedAt: number): boolean {
    if (runState === 'inherited') return report !== null || isReported
    return isConfirmed && (evidenceFrom === 0 || (report?.isComplete === true && evidenceFrom < requestedAt))
  }
}
