/**
 * What the owner knows and decides of jobs, tasks and workers.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import { JobObserver } from '../jobs/job-observer.js'
import type { JobView } from '../jobs/job-view.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { DecisionWriterTask } from './decision-writer-task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledJobTable } from './scheduled-job-table.js'
import { ScheduledJob } from './scheduled-job.js'
import type { ScheduledStep } from './scheduled-step.js'
import type { ScheduledTask } from './scheduled-task.js'
import type { RunOrders } from './run-order-dispatcher.js'
import type { ResourceReservations } from './resource-reservations.js'
import type { WorkerError } from './worker-error.js'
import type { WorkerReport } from './worker-report.js'
import type { WorkerTable } from './worker-table.js'

type RunEnd = WorkerReport['ended'][number]

/** How long a worker that refused an order is left alone, in milliseconds. */
const AVOID_MILLISECONDS = { refusing: 150, unhealthy: 1_000 } as const

/** Who a task's room counts for is settled here: every change of a task's place goes through this class. */
export class FleetSchedule extends JobObserver {
  /** Wakes the placement when something has changed that it may act on. */
  readonly changed = new Notifier()
  private _changes = 0

  constructor (
    private readonly _configuration: ConfigurationFollowerTask,
    private readonly _writer: DecisionWriterTask,
    private readonly _orders: RunOrders,
    private readonly _jobs: ScheduledJobTable, private readonly _roster: WorkerTable, private readonly _room: ResourceReservations,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
  }

  /** Number of changes so far: whoever is about to wait compares it, so that no change is missed. */
  get changes (): number {
    return this._changes
  }

  override jobSubmitted (view: JobView): void {
    const job = new ScheduledJob(view)
    this._jobs.add(job)
    for (const step of job.steps) for (const task of step.tasks) if (task.phase === 'placed') this._inherit(task)
    if (job.isOver) this._close(job)
    else if (view.isCancellationRequested) this.jobCancellationRequested(view)
    this.markChanged()
  }

  override jobCancellationRequested (view: JobView): void {
    const job = this._jobs.job(view.submission.id)
    if (!job || job.isOver) return
    job.isCancelled = true
    this._writer.append({ kind: 'verdict', job: job.id })
    this._log.emit('job cancelled', { job: job.id })
    this._close(job)
  }

  /** The present run of a task has ended. */
  end (task: ScheduledTask, { how, checkpoint }: RunEnd): void {
    if (checkpoint !== '') task.checkpoint = checkpoint
    const { isGang, isLasting } = task.step.definition
    if (how === 'done' && !isLasting) {
      const members = isGang ? task.step.tasks.filter(({ run }) => run === task.run) : [task]
      for (const member of members) this._finish(member, 'done')
    } else if (how === 'failed' && this._hasExhausted(task)) this._finish(task, 'failed')
    else this._requeue(task)
    this._reconsider(task.step)
  }

  /** The end of a run that had been given up: its outcome counts all the same. */
  endLate (task: ScheduledTask, end: RunEnd): void {
    if (task.phase === 'done' || task.step.definition.isLasting || end.run > task.run) return
    this._log.emit('late end', { task: task.name, run: end.run, how: end.how, present: task.run, phase: task.phase })
    if (end.how === 'failed') {
      task.noteFailure(end.run)
      this._writer.write(task.step)
    }
    if (end.how !== 'done') return
    if (task.phase === 'placed') this.stop(task)
    this._finish(task, 'done')
    this._reconsider(task.step)
  }

  /** The present run of a task isn't there any more, and nothing came of it. */
  lose (task: ScheduledTask, cause: string): void {
    this._metrics.count('runs.lost')
    this._log.emit('run lost', { task: task.name, run: task.run, worker: task.workerId, cause })
    this._requeue(task)
  }

  /** Everything on a worker has lapsed or is gone. */
  loseAll (worker: FleetWorker, cause: string): void {
    if (worker.tasks.size === 0) return
    this._log.emit('runs lost', { worker: worker.entry.id, runs: worker.tasks.size, cause, heardAt: worker.lastReportAt })
    for (const task of [...worker.tasks]) this.lose(task, cause)
  }

  /** Decides on a run; its start follows when the decision lasts. Members of a gang share a run number. */
  place (task: ScheduledTask, worker: FleetWorker, run = task.run + 1): void {
    task.phase = 'placed'
    task.run = run
    task.workerId = worker.entry.id
    task.incarnation = worker.entry.incarnation
    task.runState = 'intended'
    task.confirmedAt = Infinity
    task.percent = 0
    task.pace = 100
    task.isStopOrdered = false
    this._room.attach(task, worker)
    this._writer.write(task.step, () => this._launch(task, worker, run))
  }

  /** The worker took the order. */
  started (task: ScheduledTask, run: number): void {
    if (task.run !== run || task.phase !== 'placed') return
    if (task.runState === 'starting') task.runState = 'running'
    task.confirmedAt = this._clock.now()
  }

  /** The worker refused the order, or it never left: the run isn't there. */
  refused (task: ScheduledTask, worker: FleetWorker, run: number, error: WorkerError): void {
    if (task.run !== run || task.worker !== worker) return
    this._metrics.count('runs.refused', 1, error.kind)
    this._log.emit('start refused', { task: task.name, run, worker: worker.entry.id, cause: error.kind, detail: error.message })
    const avoid = error.kind === 'unhealthy' ? AVOID_MILLISECONDS.unhealthy : AVOID_MILLISECONDS.refusing
    worker.avoidedUntil = Math.max(worker.avoidedUntil, this._clock.now() + avoid)
    if (task.step.definition.isGang) this._stopGang(task)
    this._requeue(task)
  }

  /**
   * No answer: the run may be there, or may come later; it is being stopped.
   *
   * @param sentAt epoch milliseconds at which the order was sent.
   */
  unsettled (task: ScheduledTask, worker: FleetWorker, run: number, sentAt: number): void {
    this._roster.doubt(worker, sentAt)
    if (task.run !== run || task.phase !== 'placed') return
    this._metrics.count('runs.unsettled')
    this._log.emit('start unsettled', { task: task.name, run, worker: task.workerId })
    task.runState = 'settling'
    if (task.step.definition.isGang) this._stopGang(task)
  }

  /** The stop of a run was answered: a report asked for from now on tells whether it is there. */
  stopAnswered (task: string, run: number): void {
    const owned = this._jobs.find(task)
    if (!owned || owned.run !== run || owned.phase !== 'placed') return
    owned.confirmedAt = Math.min(owned.confirmedAt, this._clock.now())
  }

  /** Orders a placed run to end. The task waits again once it has. */
  stop (task: ScheduledTask): void {
    const { worker } = task
    if (!worker?.client || task.isStopOrdered || task.runState === 'intended') return
    task.isStopOrdered = true
    if (task.runState === 'running') task.runState = 'stopping'
    this._orders.stop(worker, task.name, task.run)
  }

  /** Gives up runs whose lease has lapsed on workers that weren't reached in time. */
  expireLeases (): void {
    const now = this._clock.now()
    for (const worker of this._roster.all) if (worker.tasks.size > 0 && worker.lapsesAt < now) this.loseAll(worker, 'lease lapsed')
  }

  /** Tells the placement that something outside the schedule has changed. */
  markChanged (): void {
    this._changes += 1
    this.changed.notify()
  }

  /** A placed task of an earlier term: its worker will tell, or its lease will lapse. */
  private _inherit (task: ScheduledTask): void {
    const worker = this._roster.placeholder(task)
    if (worker.entry.incarnation !== task.incarnation) {
      this._requeue(task)
      return
    }
    task.runState = 'inherited'
    this._room.attach(task, worker)
  }

  private _launch (task: ScheduledTask, worker: FleetWorker, run: number): void {
    if (task.run !== run || task.worker !== worker || task.runState !== 'intended') return
    if (task.step.job.isOver || !this._roster.isSchedulable(worker)) {
      if (task.step.definition.isGang) this._stopGang(task)
      this._requeue(task)
      return
    }
    task.runState = 'starting'
    this._metrics.count('runs.started')
    this._orders.start(task, worker)
  }

  /** Counts a failed run; whether the task has had as many as its queue allows. */
  private _hasExhausted (task: ScheduledTask): boolean {
    const { isGang, isLasting } = task.step.definition
    for (const member of isGang ? task.step.tasks : [task]) member.noteFailure(task.run)
    const queue = this._configuration.queue(task.step.job.view.submission.queue)
    return !isLasting && queue !== null && task.failedRuns.length >= queue.maximumAttempts
  }

  private _finish (task: ScheduledTask, phase: 'done' | 'failed'): void {
    this._room.detach(task)
    task.phase = phase
    this._writer.write(task.step)
  }

  /** After an end: the job may be over, or its next steps may start. */
  private _reconsider (step: ScheduledStep): void {
    const { job } = step
    if (!job.hasFailed && step.tasks.some(({ phase }) => phase === 'failed')) {
      job.hasFailed = true
      this._log.emit('job failed', { job: job.id, step: step.index })
    }
    if (job.isOver) this._close(job)
    this.markChanged()
  }

  private _close (job: ScheduledJob): void {
    this._jobs.close(job)
    for (const step of job.steps) for (const task of step.tasks) if (task.phase === 'placed') this.stop(task)
    this.markChanged()
  }

  /** The other members of a gang would wait in vain. */
  private _stopGang (task: ScheduledTask): void {
    for (const member of task.step.tasks) if (member !== task && member.run === task.run && member.phase === 'placed') this.stop(member)
  }

  private _requeue (task: ScheduledTask): void {
    this._room.detach(task)
    if (task.phase === 'placed') {
      task.phase = 'waiting'
      this._writer.write(task.step)
    }
    this.markChanged()
  }
}
