/**
 * What the owner knows and decides of jobs, tasks and workers.
 */
import type { ConfigurationTask } from '../configuration/configuration-task.js'
import { JobObserver } from '../jobs/job-observer.js'
import type { JobView } from '../jobs/job-view.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { DecisionWriterTask } from './decision-writer-task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { JobRegister } from './job-register.js'
import { OwnedJob } from './owned-job.js'
import type { OwnedStep } from './owned-step.js'
import type { OwnedTask } from './owned-task.js'
import type { RunOrderDispatcher } from './run-orders.js'
import type { RoomBook } from './room-book.js'
import type { WorkerError } from './worker-error.js'
import type { WorkerReport } from './worker-report.js'
import type { WorkerRoster } from './worker-roster.js'

type RunCompletion = WorkerReport['ended'][number]

/** How long a worker that refused an order is left alone, in milliseconds. */
const COOLDOWN_MILLISECONDS = { refused: 150, unhealthy: 1_000 } as const

/** Who a task's room counts for is settled here: every change of a task's place goes through this class. */
export class FleetSchedule extends JobObserver {
  /** Wakes the placement when something has changed that it may act on. */
  readonly changed = new Notifier()
  private _changeCount = 0

  constructor (
    private readonly _configuration: ConfigurationTask,
    private readonly _writer: DecisionWriterTask,
    private readonly _orders: RunOrderDispatcher,
    private readonly _jobs: JobRegister, private readonly _workers: WorkerRoster, private readonly _reservations: RoomBook,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
  }

  /** Number of changes so far: whoever is about to wait compares it, so that no change is missed. */
  get changeCount (): number {
    return this._changeCount
  }

  override jobSubmitted (view: JobView): void {
    const job = new OwnedJob(view)
    this._jobs.add(job)
    for (const step of job.steps) for (const task of step.tasks) if (task.phase === 'placed') this._restorePlacement(task)
    if (job.isFinished) this._finishJob(job)
    else if (view.isCancelRequested) this.jobCancelled(view)
    this.touch()
  }

  override jobCancelled (view: JobView): void {
    const job = this._jobs.job(view.submission.id)
    if (!job || job.isFinished) return
    job.isCancelled = true
    this._writer.append({ kind: 'verdict', job: job.id })
    this._log.note('job cancelled', { job: job.id })
    this._finishJob(job)
  }

  /** The present run of a task has ended. */
  runCompleted (task: OwnedTask, { how, checkpoint }: RunCompletion): void {
    if (checkpoint !== '') task.checkpoint = checkpoint
    const { isGang, isLasting } = task.step.definition
    if (how === 'done' && !isLasting) {
      const members = isGang ? task.step.tasks.filter(({ run }) => run === task.run) : [task]
      for (const member of members) this._finishTask(member, 'done')
    } else if (how === 'failed' && this._recordFailedRun(task)) this._finishTask(task, 'failed')
    else this._requeue(task)
    this._updateJob(task.step)
  }

  /** The end of a run that had been given up: its outcome counts all the same. */
  abandonedRunCompleted (task: OwnedTask, end: RunCompletion): void {
    if (task.phase === 'done' || task.step.definition.isLasting || end.run > task.run) return
    this._log.note('late end', { task: task.name, run: end.run, how: end.how, present: task.run, phase: task.phase })
    if (end.how === 'failed') {
      task.recordFailure(end.run)
      this._writer.writeStep(task.step)
    }
    if (end.how !== 'done') return
    if (task.phase === 'placed') this.stop(task)
    this._finishTask(task, 'done')
    this._updateJob(task.step)
  }

  /** The present run of a task isn't there any more, and nothing came of it. */
  runLost (task: OwnedTask, cause: string): void {
    this._metrics.count('runs.lost')
    this._log.note('run lost', { task: task.name, run: task.run, worker: task.workerId, cause })
    this._requeue(task)
  }

  /** Everything on a worker has lapsed or is gone. */
  allRunsLost (worker: FleetWorker, cause: string): void {
    if (worker.tasks.size === 0) return
    this._log.note('runs lost', { worker: worker.entry.id, runs: worker.tasks.size, cause, heardAt: worker.heardAt })
    for (const task of [...worker.tasks]) this.runLost(task, cause)
  }

  /** Decides on a run; its start follows when the decision lasts. Members of a gang share a run number. */
  place (task: OwnedTask, worker: FleetWorker, run = task.run + 1): void {
    task.phase = 'placed'
    task.run = run
    task.workerId = worker.entry.id
    task.incarnation = worker.entry.incarnation
    task.runState = 'intended'
    task.confirmedAt = Infinity
    task.progressPercent = 0
    task.speedPercent = 100
    task.isStopOrdered = false
    this._reservations.reserve(task, worker)
    this._writer.writeStep(task.step, () => this._startRun(task, worker, run))
  }

  /** The worker took the order. */
  startAccepted (task: OwnedTask, run: number): void {
    if (task.run !== run || task.phase !== 'placed') return
    if (task.runState === 'starting') task.runState = 'running'
    task.confirmedAt = this._clock.now()
  }

  /** The worker refused the order, or it never left: the run isn't there. */
  startRefused (task: OwnedTask, worker: FleetWorker, run: number, error: WorkerError): void {
    if (task.run !== run || task.worker !== worker) return
    this._metrics.count('runs.refused', 1, error.kind)
    this._log.note('start refused', { task: task.name, run, worker: worker.entry.id, cause: error.kind, detail: error.message })
    const avoid = error.kind === 'unhealthy' ? COOLDOWN_MILLISECONDS.unhealthy : COOLDOWN_MILLISECONDS.refused
    worker.cooldownUntil = Math.max(worker.cooldownUntil, this._clock.now() + avoid)
    if (task.step.definition.isGang) this._stopOtherGangMembers(task)
    this._requeue(task)
  }

  /**
   * No answer: the run may be there, or may come later; it is being stopped.
   *
   * @param sentAt epoch milliseconds at which the order was sent.
   */
  startUnconfirmed (task: OwnedTask, worker: FleetWorker, run: number, sentAt: number): void {
    this._workers.suspect(worker, sentAt)
    if (task.run !== run || task.phase !== 'placed') return
    this._metrics.count('runs.unsettled')
    this._log.note('start unsettled', { task: task.name, run, worker: task.workerId })
    task.runState = 'settling'
    if (task.step.definition.isGang) this._stopOtherGangMembers(task)
  }

  /** The stop of a run was answered: a report asked for from now on tells whether it is there. */
  stopConfirmed (task: string, run: number): void {
    const owned = this._jobs.findTask(task)
    if (!owned || owned.run !== run || owned.phase !== 'placed') return
    owned.confirmedAt = Math.min(owned.confirmedAt, this._clock.now())
  }

  /** Orders a placed run to end. The task waits again once it has. */
  stop (task: OwnedTask): void {
    const { worker } = task
    if (!worker?.client || task.isStopOrdered || task.runState === 'intended') return
    task.isStopOrdered = true
    if (task.runState === 'running') task.runState = 'stopping'
    this._orders.stop(worker, task.name, task.run)
  }

  /** Gives up runs whose lease has lapsed on workers that weren't reached in time. */
  expireLeases (): void {
    const now = this._clock.now()
    for (const worker of this._workers.all) if (worker.tasks.size > 0 && worker.leaseExpiresAt < now) this.allRunsLost(worker, 'lease lapsed')
  }

  /** Tells the placement that something outside the schedule has changed. */
  touch (): void {
    this._changeCount += 1
    this.changed.notify()
  }

  /** A placed task of an earlier term: its worker will tell, or its lease will lapse. */
  private _restorePlacement (task: OwnedTask): void {
    const worker = this._workers.findOrAddPlaceholder(task)
    if (worker.entry.incarnation !== task.incarnation) {
      this._requeue(task)
      return
    }
    task.runState = 'inherited'
    this._reservations.reserve(task, worker)
  }

  private _startRun (task: OwnedTask, worker: FleetWorker, run: number): void {
    if (task.run !== run || task.worker !== worker || task.runState !== 'intended') return
    if (task.step.job.isFinished || !this._workers.isOpen(worker)) {
      if (task.step.definition.isGang) this._stopOtherGangMembers(task)
      this._requeue(task)
      return
    }
    task.runState = 'starting'
    this._metrics.count('runs.started')
    this._orders.start(task, worker)
  }

  /** Counts a failed run; whether the task has had as many as its queue allows. */
  private _recordFailedRun (task: OwnedTask): boolean {
    const { isGang, isLasting } = task.step.definition
    for (const member of isGang ? task.step.tasks : [task]) member.recordFailure(task.run)
    const queue = this._configuration.queue(task.step.job.view.submission.queue)
    return !isLasting && queue !== null && task.failedRuns.length >= queue.maximumAttempts
  }

  private _finishTask (task: OwnedTask, phase: 'done' | 'failed'): void {
    this._reservations.release(task)
    task.phase = phase
    this._writer.writeStep(task.step)
  }

  /** After an end: the job may be over, or its next steps may start. */
  private _updateJob (step: OwnedStep): void {
    const { job } = step
    if (!job.hasFailed && step.tasks.some(({ phase }) => phase === 'failed')) {
      job.hasFailed = true
      this._log.note('job failed', { job: job.id, step: step.index })
    }
    if (job.isFinished) this._finishJob(job)
    this.touch()
  }

  private _finishJob (job: OwnedJob): void {
    this._jobs.markFinished(job)
    for (const step of job.steps) for (const task of step.tasks) if (task.phase === 'placed') this.stop(task)
    this.touch()
  }

  /** The other members of a gang would wait in vain. */
  private _stopOtherGangMembers (task: OwnedTask): void {
    for (const member of task.step.tasks) if (member !== task && member.run === task.run && member.phase === 'placed') this.stop(member)
  }

  private _requeue (task: OwnedTask): void {
    this._reservations.release(task)
    if (task.phase === 'placed') {
      task.phase = 'waiting'
      this._writer.writeStep(task.step)
    }
    this.touch()
  }
}
