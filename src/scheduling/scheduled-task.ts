/**
 * The owner's view of a task.
 */
import type { LateStart } from '../jobs/late-start.js'
import type { Resources } from '../jobs/resources.js'
import type { TaskProgress } from '../jobs/task-progress.js'
import { WORKER_CLOCK_RATE } from '../jobs/worker-clock-rate.js'
import { CrashHistory } from '../crashes/crash-history.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledStep } from './scheduled-step.js'
import { keepsUnconfirmedRun } from './keeps-unconfirmed-run.js'
import { TaskRun } from './task-run.js'

/** Time for which a task that is suspected after one crash waits for a worker without other runs on trial, in milliseconds. */
const ISOLATION_TIMEOUT_MILLISECONDS = 1_500

/** Time after which the crashes of a task that lasts are forgotten, in milliseconds. */
const STABLE_MILLISECONDS = 10_000

/** A task that the owner schedules. Its progress is written to the journal along with that of the other tasks of its step. */
export class ScheduledTask extends TaskRun {
  phase: TaskProgress['phase']
  /** Whether a run may have begun; not if every start so far was refused. */
  hasBegun: boolean
  failedRuns: readonly number[]
  checkpoint: string
  /** Epoch milliseconds until which the task, suspected after a crash, waits for a worker without other runs on trial. */
  isolationDeadline = 0
  /** Epoch milliseconds at which a crash was last recorded under this term; 0 for none. */
  lastCrashAt = 0
  /** Epoch milliseconds from which a waiting task takes a worker with other runs on trial, whatever its crashes; Infinity while it has not waited for a trial. */
  trialOverdueAt = Infinity
  /** Epoch milliseconds from which a waiting task that lasts takes any worker with room; Infinity before a placement round has found none for it. */
  overdueAt = Infinity
  /** A start of an earlier run that may still be carried out, or null: the task starts under the ID of its worker only. */
  lateStart: LateStart | null
  /** Incarnation of a worker that has answered calls but two starts of the task; the task isn't bound to it again. */
  unresponsiveIncarnation = 0
  /** Epoch milliseconds from which on the task waits for that worker no longer if the worker responds. */
  bindingDeadline = 0
  /** Whether nothing else may start on the worker while the current run is on trial. */
  isIsolated = false
  /**
   * A second run of the task on another worker, or null. It has a reservation of its own, and isn't among the tasks of the step; it takes this object's place there if
   * this object's run ends first without completing the task. Only of a placed task, or of one that is done whose copy is being stopped.
   */
  copy: ScheduledTask | null = null
  /** Whether the current run began as a copy whose outcome has not been counted yet. */
  isCopy = false
  /** Epoch milliseconds before which the task gets no copy, because an earlier one has just ended, or because no worker could take one. */
  nextCopyAt = 0
  /** Number of the last copy that has ended or goes on as the task; 0 for none. */
  private _lastCopyRun = 0

  /** @param crashes the history that a copy shares with its task. */
  constructor (readonly step: ScheduledStep, readonly index: number, progress: TaskProgress | null, readonly crashes = new CrashHistory(progress?.crashes)) {
    super(progress)
    this.phase = progress?.phase ?? 'waiting'
    this.hasBegun = progress?.hasBegun ?? false
    this.failedRuns = progress?.failedRuns ?? []
    this.checkpoint = progress?.checkpoint ?? ''
    this.lateStart = progress?.lateStart ?? null
    if (!progress?.copy) return
    if (progress.copy.worker === '' || this.phase !== 'placed') this._lastCopyRun = progress.copy.run
    else this._addCopy({ ...progress.copy, phase: 'placed', hasBegun: true, failedRuns: [], checkpoint: this.checkpoint, crashes: [] })
  }

  /** The object that stands for the task in its step: this one, unless it is a copy or has been replaced by one. */
  get principal (): ScheduledTask {
    return this.step.tasks[this.index] ?? this
  }

  /** Number of the newest run, of copies as well. */
  get newestRun (): number {
    return Math.max(this.run, this._lastCopyRun, this.copy?.run ?? 0)
  }

  /** Whether the task has had a copy, as far as this owner knows. */
  get hasHadCopy (): boolean {
    return this.copy !== null || this._lastCopyRun > 0
  }

  /** Whether any run of the task, or one that is being stopped, has a reservation. */
  get hasRuns (): boolean {
    return this.worker !== null || this.copy !== null
  }

  /** Returns the run of the task with a number on a worker, which may be a copy; null if it isn't current. */
  findRun (worker: FleetWorker, run: number): ScheduledTask | null {
    return [this, this.copy].find(current => current?.worker === worker && current.run === run) ?? null
  }

  /** Adds a copy, of which no run has begun yet. */
  addCopy (): ScheduledTask {
    return this._addCopy(null)
  }

  /** Removes the copy, whose run has ended. */
  removeCopy (): void {
    this._lastCopyRun = this.newestRun
    this.copy = null
  }

  /** Lets the copy go on as the task, after the run of this object has ended. */
  continueAsCopy (copy: ScheduledTask): void {
    this.copy = null
    copy.failedRuns = this.failedRuns
    copy.isolationDeadline = this.isolationDeadline
    copy.lastCrashAt = this.lastCrashAt
    copy.nextCopyAt = this.nextCopyAt
    copy._lastCopyRun = copy.run
    if (copy.checkpoint === '') copy.checkpoint = this.checkpoint
    this.step.replaceTask(copy)
    this.phase = 'done'
  }

  /** Name of the task at the workers. */
  get name (): string {
    return `${this.step.name}.${this.index}`
  }

  /** Resources to reserve on a worker for the task. A filler reserves no processors. */
  get reservation (): Resources {
    const { demand, isFiller } = this.step.definition
    return isFiller ? { ...demand, millicores: 0 } : demand
  }

  /** Whether the task is running and has reported full readiness. */
  get isFullyRunning (): boolean {
    return this.phase === 'placed' && this.runState === 'running' && this.progressPercent >= 100
  }

  /** What is isolated together: the members of a gang can't run without each other. */
  get isolationGroup (): ScheduledStep | ScheduledTask {
    return this.step.definition.isGang ? this.step : this
  }

  /** Whether the current run has been decided on, and its start has no outcome yet. */
  get isStartPending (): boolean {
    return this.phase === 'placed' && (this.runState === 'intended' || this.runState === 'starting')
  }

  /** Whether the start of the current run may be on its way, or is yet to be sent. */
  get isStartUnsettled (): boolean {
    return this.phase === 'placed' && !this.isStarted
  }

  /** Whether the task may start on a worker, as far as late starts of earlier runs matter. */
  mayStartOn ({ entry: { id } }: FleetWorker): boolean {
    return this.lateStart === null || this.lateStart.worker === id
  }

  /** Epoch milliseconds at which the current run began at the latest, as far as this owner knows; 0 if unknown. */
  get activeSince (): number {
    return this.startOrderedAt === 0 ? 0 : this.startOrderedAt - this.earlierMilliseconds
  }

  /** Whether the current run may still crash its worker by its start: no report has shown yet that it has been running for a while. */
  get isOnTrial (): boolean {
    if (!this.worker) return false
    return this.startOrderedAt === 0 || this.startOrderedAt + this.crashes.trialMilliseconds > this.worker.lastReportAt
  }

  /** Whether the current run of a task that lasts has been running for so long that earlier crashes don't matter. */
  get isStable (): boolean {
    return this.step.definition.isLasting && this.worker !== null && this.startOrderedAt !== 0 && this.activeSince + STABLE_MILLISECONDS <= this.worker.lastReportAt
  }

  /** Lets the task wait for a worker without other runs on trial, if its crashes require that, whether they are proved or not. */
  awaitIsolation (now: number): void {
    this.step.hasCrashes = true
    this.principal.isolationDeadline = now + ISOLATION_TIMEOUT_MILLISECONDS
  }

  /**
   * Begins a run on a worker; nothing of it has been sent yet.
   *
   * @param placementNumber number of the placement, higher than those of all earlier ones.
   */
  beginRun (worker: FleetWorker, run: number, placementNumber: number, now: number): void {
    this.phase = 'placed'
    this.resetRun(worker, run, placementNumber, this.step.definition.isLasting ? worker.clockEstimate.readLatest(now) : 0)
    this.overdueAt = Infinity
    this.trialOverdueAt = Infinity
  }

  /** Records that the worker reports the current run. For how long it has been active if another owner started it, the worker's clock tells. */
  recordReported (now: number, workerClock: number): void {
    this.hasBegun = true
    this.isReported = true
    this.evidenceFrom = 0
    if (this.worker) this.incarnation = this.worker.entry.incarnation
    if (this.runState === 'inherited' || this.runState === 'starting' || (this.runState === 'settling' && keepsUnconfirmedRun(this))) this.runState = 'running'
    this.confirmedAt = Math.min(this.confirmedAt, now)
    if (this.startOrderedAt !== 0) return
    this.startOrderedAt = now
    if (this.placedAtClock > 0) this.earlierMilliseconds = Math.max(0, workerClock - this.placedAtClock) / WORKER_CLOCK_RATE.fastest
  }

  /** Whether the task lasts and has waited for so long that only the room on a worker matters. */
  isOverdue (now: number): boolean {
    return this.step.definition.isLasting && this.overdueAt <= now
  }

  /** Records a failed run; a run is counted once. */
  recordFailure (run: number): void {
    if (!this.failedRuns.includes(run)) this.failedRuns = [...this.failedRuns, run]
  }

  /** The task's progress, as written to the journal. */
  get progress (): TaskProgress {
    const isPlaced = this.phase === 'placed'
    return {
      phase: this.phase,
      run: isPlaced ? this.run : this.newestRun,
      // The start of a placed task may be on its way.
      hasBegun: this.run > 0 && (this.phase !== 'waiting' || this.hasBegun),
      failedRuns: [...this.failedRuns],
      worker: isPlaced ? this.workerId : '',
      incarnation: isPlaced ? this.incarnation : 0,
      ...isPlaced && this.placedAtClock > 0 ? { placedAtClock: this.placedAtClock } : {},
      ...isPlaced && this.isStarted ? { isStarted: true } : {},
      ...isPlaced && this.isStarted && this.isReported ? { isReported: true } : {},
      ...this.isStartUnsettled && this.placementNumber > 0 ? { placementNumber: this.placementNumber } : {},
      ...isPlaced && (this.newestRun > this.run || this._lastCopyRun === this.run) ? { copy: this._copyProgress } : {},
      ...this.lateStart && (isPlaced || this.phase === 'waiting') ? { lateStart: this.lateStart } : {},
      checkpoint: this.phase === 'done' ? '' : this.checkpoint,
      crashes: this.phase === 'done' ? [] : [...this.crashes.records]
    }
  }

  private get _copyProgress (): TaskProgress['copy'] {
    if (!this.copy) return { run: this._lastCopyRun, worker: '', incarnation: 0 }
    const { run, worker, incarnation, isStarted, isReported, placementNumber } = this.copy.progress
    return { run, worker, incarnation, ...isStarted ? { isStarted } : {}, ...isReported ? { isReported } : {}, ...placementNumber ? { placementNumber } : {} }
  }

  private _addCopy (progress: TaskProgress | null): ScheduledTask {
    const copy = new ScheduledTask(this.step, this.index, progress, this.crashes)
    copy.checkpoint = this.checkpoint
    copy.hasBegun = true
    copy.isCopy = true
    this.copy = copy
    return copy
  }
}
