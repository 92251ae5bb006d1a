/**
 * Takes in what workers report.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import type { FleetSchedule } from './fleet-schedule.js'
import type { FleetWorker } from './fleet-worker.js'
import type { JobRegister } from './job-register.js'
import type { OwnedTask } from './owned-task.js'
import type { RunOrderDispatcher } from './run-orders.js'
import type { WorkerEntry } from './worker-entry.js'
import type { WorkerReport } from './worker-report.js'
import type { WorkerRoster } from './worker-roster.js'

type RunCompletion = WorkerReport['ended'][number]
type ActiveRun = WorkerReport['running'][number]

/** Failures in a row after which a worker is left alone. */
const FAILURES_BEFORE_COOLDOWN = 2

/** How long a worker that fails runs is left alone, in milliseconds. */
const COOLDOWN_MILLISECONDS = 4_000

/** Compares what a worker says with what the schedule holds it to run. */
export class ReportReader {
  constructor (
    private readonly _schedule: FleetSchedule, private readonly _jobs: JobRegister, private readonly _workers: WorkerRoster, private readonly _orders: RunOrderDispatcher,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {}

  /** Takes in a registry entry. Another incarnation than the known one has nothing of before. */
  applyEntry (entry: WorkerEntry): FleetWorker {
    const known = this._workers.find(entry.id)
    // A report may have told of a newer incarnation than the registry.
    if (known && known.entry.incarnation > entry.incarnation) return known
    if (known && known.entry.incarnation < entry.incarnation) this._startIncarnation(known, entry.incarnation, [])
    const worker = this._workers.applyEntry(entry)
    this._schedule.touch()
    return worker
  }

  /**
   * Takes in a report.
   *
   * @param askedAt epoch milliseconds at which it was asked for: only what was confirmed before must be in it.
   */
  applyReport (worker: FleetWorker, report: WorkerReport, askedAt: number): void {
    if (report.incarnation !== 0 && report.incarnation !== worker.entry.incarnation) this._startIncarnation(worker, report.incarnation, report.running)
    const isFirst = worker.heardAt === 0
    worker.recordReport(report.clock, this._clock.now())
    this._applyCompletions(worker, report.ended)
    this._applyActiveRuns(worker, report.running, askedAt)
    for (const row of report.running) this._stopIfOrphaned(worker, row)
    if (isFirst) this._schedule.touch()
  }

  private _applyCompletions (worker: FleetWorker, ends: readonly RunCompletion[]): void {
    const fresh = ends.filter(({ number }) => number > worker.appliedSequence)
    if (fresh.length === 0) return
    this._log.note('runs ended', { worker: worker.entry.id, runs: fresh.map(({ task, run, how }) => `${task}/${run} ${how}`) })
    for (const end of fresh) {
      worker.appliedSequence = Math.max(worker.appliedSequence, end.number)
      this._metrics.count('runs.ended', 1, end.how)
      const task = this._jobs.findTask(end.task)
      if (!task) continue
      if (task.worker !== worker || task.run !== end.run) this._schedule.abandonedRunCompleted(task, end)
      else {
        this._updateCooldown(worker, end.how)
        this._schedule.runCompleted(task, end)
      }
    }
  }

  private _applyActiveRuns (worker: FleetWorker, running: readonly ActiveRun[], askedAt: number): void {
    const rows = new Map(running.map(row => [row.task, row]))
    for (const task of [...worker.tasks]) {
      const row = rows.get(task.name)
      if (row?.run === task.run) this._confirmRun(task, row)
      else if (task.runState === 'inherited' || task.confirmedAt < askedAt) this._schedule.runLost(task, 'not on its worker')
      // Its stop may have ended with the connection; without one nothing tells when the run can't come any more.
      else if (task.runState === 'settling') this._orders.stop(worker, task.name, task.run)
    }
  }

  private _confirmRun (task: OwnedTask, row: ActiveRun): void {
    if (task.runState === 'inherited' || task.runState === 'starting') task.runState = 'running'
    task.confirmedAt = Math.min(task.confirmedAt, this._clock.now())
    if (row.checkpoint !== '') task.checkpoint = row.checkpoint
    task.progressPercent = row.percent
    task.load = row.load
  }

  /** Runs that belong to no present decision are stopped. */
  private _stopIfOrphaned (worker: FleetWorker, { task: name, run }: ActiveRun): void {
    const task = this._jobs.findTask(name)
    if (task?.worker === worker && task.run === run) {
      if (task.step.job.isFinished) this._schedule.stop(task)
      return
    }
    this._metrics.count('runs.stray')
    this._log.note('stray run', { task: name, run, worker: worker.entry.id })
    this._orders.stop(worker, name, run)
  }

  /** Keeps new runs away from a worker that fails whatever it starts. */
  private _updateCooldown (worker: FleetWorker, how: RunCompletion['how']): void {
    if (how === 'done') worker.consecutiveFailures = 0
    if (how !== 'failed') return
    worker.consecutiveFailures += 1
    if (worker.consecutiveFailures < FAILURES_BEFORE_COOLDOWN) return
    worker.cooldownUntil = this._clock.now() + COOLDOWN_MILLISECONDS
    this._log.note('worker avoided', { worker: worker.entry.id, failuresInRow: worker.consecutiveFailures, until: Math.round(worker.cooldownUntil) })
  }

  /** Nothing of before is there but what was started since. */
  private _startIncarnation (worker: FleetWorker, incarnation: number, running: readonly ActiveRun[]): void {
    this._log.note('worker reborn', { worker: worker.entry.id, from: worker.entry.incarnation, to: incarnation, runs: worker.tasks.size })
    worker.startIncarnation(incarnation, this._workers.unknownLeasesExpireAt)
    for (const task of [...worker.tasks]) {
      const isThere = running.some(row => row.task === task.name && row.run === task.run)
      if (isThere || task.runState === 'starting' || task.runState === 'settling') task.incarnation = incarnation
      else if (task.runState !== 'intended') this._schedule.runLost(task, 'worker reborn')
    }
    this._schedule.touch()
  }
}
