/**
 * The owner's view of a job.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import { JobAllowance } from '../jobs/job-allowance.js'
import type { JobView } from '../jobs/job-view.js'
import { longestPaths } from '../jobs/longest-paths.js'
import type { JobQueue } from '../configuration/job-queue.js'
import { ScheduledOccurrence } from './scheduled-occurrence.js'
import type { ScheduledStep } from './scheduled-step.js'

/** A job that the owner schedules. It holds only occurrences that have begun and haven't been closed. */
export class ScheduledJob {
  /** Occurrences that have been opened and not closed. */
  private readonly _occurrences = new Map<number, ScheduledOccurrence>()
  private _steps: readonly ScheduledStep[] = []
  /** Number of occurrences that are done and closed. */
  private _closedOccurrences: number
  /** First occurrence that may not have been opened yet. */
  private _nextOccurrence = 0
  /** Estimated duration of the longest chain of dependent steps that begins with each step of an occurrence, in milliseconds. */
  private readonly _pathMilliseconds: readonly number[]
  /** The longest of these chains. */
  private readonly _criticalPathMilliseconds: number
  /** Estimated work of the steps after each step of an occurrence, in millicores times milliseconds. */
  private readonly _workAfter: readonly number[]
  /** Whether a cancellation was applied before the job had finished. */
  isCancelled = false
  hasFailed = false

  /** Whether the job has steps that allow copies of their tasks. */
  readonly allowsCopies: boolean

  /** Epoch milliseconds, on this process's clock, of the submission and of the due time of occurrence 0; 0 if that is due at once. */
  readonly submittedAt: number
  readonly startAt: number

  /** @param view state of the job in the journal, from which the schedule starts. */
  constructor (readonly view: JobView, fleetTime: FleetTime) {
    const { submittedAt, startAt } = view.submission
    this.submittedAt = fleetTime.toLocal(submittedAt)
    this.startAt = startAt === 0 ? 0 : fleetTime.toLocal(startAt)
    this.allowsCopies = view.submission.steps.some(({ isSpeculative }) => isSpeculative)
    this._closedOccurrences = view.doneOccurrences
    for (const occurrence of view.startedOccurrences) this._occurrences.set(occurrence, new ScheduledOccurrence(this, occurrence))
    this._collectSteps()
    this._skipKnownOccurrences()
    this._pathMilliseconds = longestPaths(view.submission.steps)
    this._criticalPathMilliseconds = this._pathMilliseconds.reduce((longest, path) => Math.max(longest, path), 0)
    this._workAfter = this._laterWork()
    this.isCancelled = view.isCancelled
    this.hasFailed = view.hasFailed
  }

  /** ID that the submitter chose. */
  get id (): string {
    return this.view.submission.id
  }

  /** Whether no more tasks of the job are to start; tasks of a failed or cancelled job may still be running. */
  get isFinished (): boolean {
    return this.isCancelled || this.hasFailed || this._closedOccurrences + this._doneOccurrences === this.view.submission.occurrences
  }

  /** Whether the job runs until it is cancelled. */
  get isLasting (): boolean {
    return this.view.submission.steps.some(({ isLasting }) => isLasting)
  }

  /** Number of steps and tasks that the job holds in memory. */
  get size (): number {
    return [...this._occurrences.values()].reduce((sum, { size }) => sum + size, 0)
  }

  /** Steps of the occurrences that have been opened and not closed. */
  get steps (): readonly ScheduledStep[] {
    return this._steps
  }

  /** Whether the job holds any occurrence. */
  get hasOpenOccurrence (): boolean {
    return this._occurrences.size > 0
  }

  /** Epoch milliseconds at which the next occurrence that hasn't been opened is due; Infinity if there is none. */
  get nextDueAt (): number {
    return this._nextOccurrence < this.view.submission.occurrences ? this.dueAt(this._nextOccurrence) : Infinity
  }

  /** Returns the epoch milliseconds from which an occurrence may start; 0 for at once. */
  dueAt (occurrence: number): number {
    return this.startAt === 0 ? 0 : this.startAt + occurrence * this.view.submission.intervalMilliseconds
  }

  /** Returns a step of an occurrence that has been opened and not closed, or null. */
  step (occurrence: number, index: number): ScheduledStep | null {
    return this._occurrences.get(occurrence)?.steps[index] ?? null
  }

  /** Opens the next occurrence. */
  openNextOccurrence (): ScheduledOccurrence {
    const occurrence = new ScheduledOccurrence(this, this._nextOccurrence)
    this._occurrences.set(this._nextOccurrence, occurrence)
    this._collectSteps()
    this._skipKnownOccurrences()
    return occurrence
  }

  /** Releases the tasks of steps, and the occurrences, that the journal shows as done. */
  closeDone (): void {
    for (const occurrence of this._occurrences.values()) {
      for (const step of occurrence.steps) step.closeIfDone()
      if (!occurrence.isClosed) continue
      this._occurrences.delete(occurrence.index)
      this._closedOccurrences += 1
      this._collectSteps()
    }
  }

  /** Returns the estimated duration of the longest chain of dependent steps that begins with the given step, in milliseconds. */
  criticalPathMilliseconds (from: ScheduledStep): number {
    return this._pathMilliseconds[from.index] ?? 0
  }

  /** Returns the estimated work that has not been placed yet, of the given step and the later ones of its occurrence, in millicores times milliseconds. */
  remainingWork ({ index, definition: { demand, estimateMilliseconds }, waitingTasks }: ScheduledStep): number {
    return waitingTasks.length * demand.millicores * estimateMilliseconds + (this._workAfter[index] ?? 0)
  }

  /** Returns the epoch milliseconds by which an occurrence has to complete to meet the queue's latency target. */
  targetCompletionAt (occurrence: number, queue: JobQueue): number {
    return this._requestedAt(occurrence) + new JobAllowance(queue, this._criticalPathMilliseconds).onTimeMilliseconds
  }

  /** Returns the epoch milliseconds from which the result of an occurrence is of no use to its caller. */
  obsoleteAt (occurrence: number, queue: JobQueue): number {
    return this._requestedAt(occurrence) + new JobAllowance(queue, this._criticalPathMilliseconds).usefulMilliseconds
  }

  private _requestedAt (occurrence: number): number {
    return Math.max(this.submittedAt, this.dueAt(occurrence))
  }

  private get _doneOccurrences (): number {
    return [...this._occurrences.values()].filter(({ isDone }) => isDone).length
  }

  private _collectSteps (): void {
    this._steps = [...this._occurrences.values()].flatMap(({ steps }) => steps)
  }

  private _skipKnownOccurrences (): void {
    while (this._occurrences.has(this._nextOccurrence) || this.view.isOccurrenceDone(this._nextOccurrence)) this._nextOccurrence += 1
  }

  private _laterWork (): number[] {
    let work = 0
    return this.view.submission.steps.toReversed().map(({ count, demand, estimateMilliseconds }) => {
      const later = work
      work += count * demand.millicores * estimateMilliseconds
      return later
    }).reverse()
  }
}
