/**
 * Takes in what workers report.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import type { FleetSchedule } from './fleet-schedule.js'
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledJobTable } from './scheduled-job-table.js'
import type { ScheduledTask } from './scheduled-task.js'
import type { RunOrders } from './run-order-dispatcher.js'
import type { WorkerEntry } from './worker-entry.js'
import type { WorkerReport } from './worker-report.js'
import type { WorkerTable } from './worker-table.js'

type RunEnd = WorkerReport['ended'][number]
type RunUnderWay = WorkerReport['running'][number]

/** Failures in a row after which a worker is left alone. */
const FAILURES_TO_AVOID = 2

/** How long a worker that fails runs is left alone, in milliseconds. */
const AVOID_MILLISECONDS = 4_000

/** Compares what a worker says with what the schedule holds it to run. */
export class WorkerReconciler {
  constructor (
    private readonly _schedule: FleetSchedule, private readonly _jobs: ScheduledJobTable, private readonly _roster: WorkerTable, private readonly _orders: RunOrders,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {}

  /** Takes in a registry entry. Another incarnation than the known one has nothing of before. */
  list (entry: WorkerEntry): FleetWorker {
    const known = this._roster.find(entry.id)
    // A report may have told of a newer incarnation than the registry.
    if (known && known.entry.incarnation > entry.incarnation) return known
    if (known && known.entry.incarnation < entry.incarnation) this._startIncarnation(known, entry.incarnation, [])
    const worker = this._roster.list(entry)
    this._schedule.markChanged()
    return worker
  }

  /**
   * Takes in a report.
   *
   * @param askedAt epoch milliseconds at which it was asked for: only what was confirmed before must be in it.
   */
  take (worker: FleetWorker, report: WorkerReport, askedAt: number): void {
    if (report.incarnation !== 0 && report.incarnation !== worker.entry.incarnation) this._startIncarnation(worker, report.incarnation, report.running)
    const isFirst = worker.lastReportAt === 0
    worker.heard(report.clock, this._clock.now())
    this._takeEnds(worker, report.ended)
    this._takeRunning(worker, report.running, askedAt)
    for (const row of report.running) this._stopStray(worker, row)
    if (isFirst) this._schedule.markChanged()
  }

  private _takeEnds (worker: FleetWorker, ends: readonly RunEnd[]): void {
    const fresh = ends.filter(({ number }) => number > worker.handled)
    if (fresh.length === 0) return
    this._log.emit('runs ended', { worker: worker.entry.id, runs: fresh.map(({ task, run, how }) => `${task}/${run} ${how}`) })
    for (const end of fresh) {
      worker.handled = Math.max(worker.handled, end.number)
      this._metrics.count('runs.ended', 1, end.how)
      const task = this._jobs.find(end.task)
      if (!task) continue
      if (task.worker !== worker || task.run !== end.run) this._schedule.endLate(task, end)
      else {
        this._judge(worker, end.how)
        this._schedule.end(task, end)
      }
    }
  }

  private _takeRunning (worker: FleetWorker, running: readonly RunUnderWay[], askedAt: number): void {
    const rows = new Map(running.map(row => [row.task, row]))
    for (const task of [...worker.tasks]) {
      const row = rows.get(task.name)
      if (row?.run === task.run) this._confirm(task, row)
      else if (task.runState === 'inherited' || task.confirmedAt < askedAt) this._schedule.lose(task, 'not on its worker')
      // Its stop may have ended with the connection; without one nothing tells when the run can't come any more.
      else if (task.runState === 'settling') this._orders.stop(worker, task.name, task.run)
    }
  }

  private _confirm (task: ScheduledTask, row: RunUnderWay): void {
    if (task.runState === 'inherited' || task.runState === 'starting') task.runState = 'running'
    task.confirmedAt = Math.min(task.confirmedAt, this._clock.now())
    if (row.checkpoint !== '') task.checkpoint = row.checkpoint
    task.percent = row.percent
    task.load = row.load
  }

  /** Runs that belong to no present decision are stopped. */
  private _stopStray (worker: FleetWorker, { task: name, run }: RunUnderWay): void {
    const task = this._jobs.find(name)
    if (task?.worker === worker && task.run === run) {
      if (task.step.job.isOver) this._schedule.stop(task)
      return
    }
    this._metrics.count('runs.stray')
    this._log.emit('stray run', { task: name, run, worker: worker.entry.id })
    this._orders.stop(worker, name, run)
  }

  /** Keeps new runs away from a worker that fails whatever it starts. */
  private _judge (worker: FleetWorker, how: RunEnd['how']): void {
    if (how === 'done') worker.failuresInRow = 0
    if (how !== 'failed') return
    worker.failuresInRow += 1
    if (worker.failuresInRow < FAILURES_TO_AVOID) return
    worker.avoidedUntil = this._clock.now() + AVOID_MILLISECONDS
    this._log.emit('worker avoided', { worker: worker.entry.id, failuresInRow: worker.failuresInRow, until: Math.round(worker.avoidedUntil) })
  }

  /** Nothing of before is there but what was started since. */
  private _startIncarnation (worker: FleetWorker, incarnation: number, running: readonly RunUnderWay[]): void {
    this._log.emit('worker reborn', { worker: worker.entry.id, from: worker.entry.incarnation, to: incarnation, runs: worker.tasks.size })
    worker.startIncarnation(incarnation, this._roster.unknownLeaseEnd)
    for (const task of [...worker.tasks]) {
      const isThere = running.some(row => row.task === task.name && row.run === task.run)
      if (isThere || task.runState === 'starting' || task.runState === 'settling') task.incarnation = incarnation
      else if (task.runState !== 'intended') this._schedule.lose(task, 'worker reborn')
    }
    this._schedule.markChanged()
  }
}
