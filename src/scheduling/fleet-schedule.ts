/**
 * The owner's schedule: the state of jobs and tasks, and the decisions on them.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import type { JobView } from '../jobs/job-view.js'
import type { RunCrash } from '../jobs/run-crash.js'
import type { Observability } from '../observability/observability.js'
import type { TaskCopies } from '../speculation/task-copies.js'
import type { AttemptBudget } from './attempt-budget.js'
import { recordLongestLease } from '../leases/record-longest-lease.js'
import { bindToWorker } from './bind-to-worker.js'
import { ScheduleChanges } from './schedule-changes.js'
import type { DecisionWriterTask } from './decision-writer-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { InheritedPlacements } from '../takeover/inherited-placements.js'
import type { ScheduledJobTable } from './scheduled-job-table.js'
import { ScheduledJob } from './scheduled-job.js'
import type { ScheduledStep } from './scheduled-step.js'
import type { ScheduledTask } from './scheduled-task.js'
import type { RunOrderDispatcher } from '../runs/run-order-dispatcher.js'
import type { ResourceReservations } from '../placement/resource-reservations.js'
import type { UnsettledStarts } from '../takeover/unsettled-starts.js'
import type { WorkerReport } from '../workers/worker-report.js'
import type { WorkerTable } from '../workers/worker-table.js'

type RunCompletion = WorkerReport['ended'][number]

/** Time after its placement up to which a run starts whose age later owners take from there, in milliseconds. */
const MAXIMUM_START_DELAY_MILLISECONDS = 3_000

/** Every change to a task's phase or worker assignment goes through this class, so that reservations on workers and in team usage always match the schedule. */
export class FleetSchedule extends ScheduleChanges {
  constructor (
    private readonly _attempts: AttemptBudget, private readonly _copies: TaskCopies, private readonly _writer: DecisionWriterTask, private readonly _dispatcher: RunOrderDispatcher,
    private readonly _jobs: ScheduledJobTable, private readonly _workers: WorkerTable, private readonly _reservations: ResourceReservations, private readonly _unsettledStarts: UnsettledStarts, private readonly _inheritedPlacements: InheritedPlacements, private readonly _fleetTime: FleetTime, private readonly _observability: Observability
  ) {
    super()
  }

  override jobSubmitted (view: JobView): void {
    const job = new ScheduledJob(view, this._fleetTime)
    this._jobs.add(job)
    // The copy first: it takes the task's place if the task's own run has ended.
    for (const step of job.steps) for (const task of step.tasks) for (const run of [task.copy, task]) if (run?.phase === 'placed') this._restorePlacement(run)
    for (const step of job.steps) for (const task of step.tasks) this._inheritedPlacements.restoreLateStart(task)
    if (job.isFinished) this._finishJob(job)
    else if (view.isCancellationRequested) this.jobCancellationRequested(view)
    this.markChanged()
  }

  override jobCancellationRequested (view: JobView): void {
    const job = this._jobs.job(view.submission.id)
    if (!job || job.isFinished) return
    job.isCancelled = true
    this._writer.append({ kind: 'verdict', job: job.id })
    this._observability.log.emit('job cancelled', { job: job.id })
    this._finishJob(job)
  }

  /** Applies the completion of a task's current run, or of its copy. */
  runCompleted (run: ScheduledTask, { result, checkpoint }: RunCompletion): void {
    const { principal: task } = run
    if (task.phase === 'done') {
      this.requeue(run)
      return
    }
    task.hasBegun = true
    if (checkpoint !== '') run.checkpoint = checkpoint
    const { isGang, isLasting } = task.step.definition
    if (result === 'done' && !isLasting) {
      this._copies.runDone(run)
      if (run === task) {
        const members = isGang ? task.step.tasks.filter(member => member.run === task.run) : [task]
        for (const member of members) this._finishTask(member, 'done')
      } else {
        this.requeue(run)
        this._stopObsoleteRun(task)
      }
    } else if (result === 'failed' && this._attempts.recordFailedRun(run) && !task.copy) this._finishTask(task, 'failed')
    else this.requeue(run)
    this._updateJob(task.step)
  }

  /** Applies the completion of a run that is no longer the task's current one, for example because it was treated as lost. Its result still counts, for a gang that of all its members. */
  abandonedRunCompleted (task: ScheduledTask, completion: RunCompletion): void {
    if (task.phase === 'done' || task.step.definition.isLasting || completion.run > task.newestRun) return
    task.hasBegun = true
    this._observability.log.emit('late run completion', { task: task.name, run: completion.run, how: completion.result, present: task.run, phase: task.phase })
    if (completion.result === 'failed') {
      task.recordFailure(completion.run)
      this._writer.writeStep(task.step)
    }
    // A failed task has ended its job.
    if (completion.result !== 'done' || task.phase === 'failed') return
    const members = task.step.definition.isGang ? task.step.tasks.filter(({ phase }) => phase !== 'done') : [task]
    for (const member of members) {
      if (member.phase === 'placed') this._stopObsoleteRun(member)
      else this._finishTask(member, 'done')
    }
    this._updateJob(task.step)
  }

  /** Requeues a task whose current run no longer exists and left no result. */
  runLost (task: ScheduledTask, cause: string): void {
    task.hasBegun = true
    this._observability.metrics.count('runs.lost')
    this._observability.log.emit('run lost', { task: task.name, run: task.run, worker: task.workerId, cause })
    bindToWorker(task, this._fleetTime, this._observability)
    this.requeue(task)
  }

  /** Records a crash of the worker under a run of a task. */
  recordCrash (run: ScheduledTask, crash: RunCrash): void {
    const { principal: task } = run
    if (task.phase === 'done' || task.step.job.isFinished || !task.crashes.record(crash)) return
    const now = this._observability.clock.now()
    task.lastCrashAt = now
    task.awaitIsolation(now)
    const { role, evidence } = crash
    this._observability.metrics.count('runs.crashed', 1, role)
    this._observability.log.emit('worker crashed under run', { task: task.name, run: crash.run, role, counts: true, ...evidence, crashes: task.crashes.count, weight: Math.round(task.crashes.weight), isGivenUp: task.crashes.isExhausted })
    this._writer.writeStep(task.step)
    this.markChanged()
  }

  /** Fails a waiting task. */
  giveUp (task: ScheduledTask): void {
    this._finishTask(task, 'failed')
    this._updateJob(task.step)
  }

  /** Records that the start of a task's current run is no longer on its way. The next owner knows that from an append soon after if the task lasts, and from the next one otherwise. */
  recordStart (task: ScheduledTask): void {
    if (task.isStarted) return
    task.isStarted = true
    if (task.step.definition.isLasting) this._writer.writeSettledStarts()
  }

  /** Writes the progress of a task whose crashes have changed. */
  writeProgress (task: ScheduledTask): void {
    this._writer.writeStep(task.step)
  }

  /** Places a task on a worker; the start order is sent once the decision is durable. Members of a gang share a run number. */
  place (task: ScheduledTask, worker: FleetWorker, run = task.newestRun + 1): void {
    const now = this._observability.clock.now()
    task.beginRun(worker, run, this._unsettledStarts.takeNumber(), now)
    this._unsettledStarts.add(task)
    this._reservations.reserve(task, worker)
    recordLongestLease(worker, now, this._writer, this._fleetTime, this._observability.log)
    this._writer.writeStep(task.step, () => this._startRun(task, worker, run, now))
  }

  /** Places a copy of a task on another worker, like any run. */
  placeCopy (task: ScheduledTask, worker: FleetWorker): void {
    const run = task.newestRun + 1
    this.place(this._copies.add(task), worker, run)
  }

  /** Sends a stop order for the run of a placed task. The task is requeued once the run has ended. */
  stop (task: ScheduledTask): void {
    const { worker } = task
    if (!worker?.client || task.isStopOrdered || task.runState === 'intended') return
    task.isStopOrdered = true
    if (task.runState === 'running') task.runState = 'stopping'
    this._dispatcher.stop(worker, task.name, task.run)
  }

  /** Stops the other members of a gang, which cannot make progress without this one. */
  stopOtherGangMembers (task: ScheduledTask): void {
    for (const member of task.step.tasks) if (member !== task && member.run === task.run && member.phase === 'placed') this.stop(member)
  }

  /** Releases a task whose current run doesn't exist, and puts it back into the queue unless it is done or given up, or goes on with another run. */
  requeue (task: ScheduledTask): void {
    this._reservations.release(task)
    if (this._copies.runEnded(task)) this._writer.writeStep(task.step)
    else if (task.phase === 'placed') {
      task.phase = 'waiting'
      this._writer.writeStep(task.step)
      if (task.phase === 'waiting' && this._attempts.isUsedUpByCopies(task)) this.giveUp(task)
    }
    this.markChanged()
  }

  /** Restores a task placed under an earlier term. If its worker has restarted since, a run that the earlier incarnation had reported has ended. */
  private _restorePlacement (task: ScheduledTask): void {
    const { isRestarted, crashes } = this._inheritedPlacements.restore(task)
    if (!isRestarted) return
    if (task.isReported) this.requeue(task)
    for (const { run, role, evidence } of crashes) this.recordCrash(task, { run, role, evidence })
  }

  private _startRun (task: ScheduledTask, worker: FleetWorker, run: number, placedAt: number): void {
    if (task.run !== run || task.worker !== worker || task.runState !== 'intended') return
    const now = this._observability.clock.now()
    const isLate = task.placedAtClock > 0 && now > placedAt + MAXIMUM_START_DELAY_MILLISECONDS
    if (task.step.job.isFinished || isLate || !this._workers.mayStart(worker, now) || worker.isOvercommitted) {
      if (task.step.definition.isGang) this.stopOtherGangMembers(task)
      this.requeue(task)
      return
    }
    task.runState = 'starting'
    task.startOrderedAt = now
    this._observability.metrics.count('runs.started')
    this._dispatcher.start(task, worker)
  }

  /** Stops the current run of a task that an earlier run has completed. Its reservation remains until it has ended. */
  private _stopObsoleteRun (task: ScheduledTask): void {
    this._stopCopy(task)
    this.stop(task)
    if (task.runState === 'intended') this._reservations.release(task)
    task.phase = 'done'
    this._writer.writeStep(task.step)
  }

  /** Stops the copy of a task that doesn't need it any more. Its reservation remains until it has ended. */
  private _stopCopy ({ copy }: ScheduledTask): void {
    if (!copy) return
    this._copies.copyStopped(copy)
    this.stop(copy)
    if (copy.runState === 'intended') this.requeue(copy)
  }

  private _finishTask (task: ScheduledTask, phase: 'done' | 'failed'): void {
    this._stopCopy(task)
    this._reservations.release(task)
    task.phase = phase
    this._writer.writeStep(task.step)
  }

  /** Updates the job after a change of a step: the job may be finished, or its next steps may start. */
  private _updateJob (step: ScheduledStep): void {
    const { job } = step
    if (!job.hasFailed && step.tasks.some(({ phase }) => phase === 'failed')) {
      job.hasFailed = true
      this._observability.log.emit('job failed', { job: job.id, step: step.index })
    }
    if (job.isFinished) this._finishJob(job)
    this.markChanged()
  }

  private _finishJob (job: ScheduledJob): void {
    this._jobs.markFinished(job)
    for (const step of job.steps) for (const task of step.tasks) for (const run of [task, task.copy]) if (run?.phase === 'placed') this.stop(run)
    this.markChanged()
  }
}
