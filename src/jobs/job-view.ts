/**
 * State of one job, built from the journal.
 */
import type { JobState } from './job-state.js'
import type { JobSubmission } from './job-submission.js'
import type { TaskProgress } from './task-progress.js'

/** Progress of one step of an occurrence that isn't done. */
interface StepView {
  /** Offset of the record with this progress. */
  readonly offset: number
  /** Null once all tasks are done. */
  readonly tasks: readonly TaskProgress[] | null
}

/** Applies the records of one job. A record may be read more than once; an older one never replaces a newer one. */
export class JobView {
  /** Steps with progress, by occurrence and index, of the occurrences that aren't done. */
  private readonly _steps = new Map<number, Map<number, StepView>>()
  /** Occurrences of which all steps are done; nothing else is kept of them. */
  private readonly _doneOccurrences = new Set<number>()
  /** Offset of the newest record of a done occurrence. */
  private _doneOffset = 0
  /** Number of occurrences up to the last one with progress. */
  private _recordedOccurrences = 0
  private _hasFailed = false
  private _hasBegun = false
  /** Offset of the owner's cancellation decision; Infinity if there is none. */
  private _cancellationOffset = Infinity
  private _isCancellationRequested = false

  constructor (readonly submission: JobSubmission) {}

  /** Whether a caller has requested the job's cancellation. The job may have been completed before. */
  get isCancellationRequested (): boolean {
    return this._isCancellationRequested
  }

  /** Whether the owner decided on the cancellation before the job was completed. */
  get isCancelled (): boolean {
    return this._cancellationOffset < this._completionOffset
  }

  /** Whether a task has failed permanently. */
  get hasFailed (): boolean {
    return this._hasFailed
  }

  /** Whether a run has begun, for all that the journal says; a task that is placed may be refused by its worker yet. */
  get hasBegun (): boolean {
    return this._hasBegun
  }

  /** State as reported to callers. */
  get state (): JobState {
    if (this.isCancelled) return 'cancelled'
    if (this._hasFailed) return 'failed'
    if (this._completionOffset < Infinity) return 'completed'
    return this._hasBegun || this._hasPlacedTasks ? 'running' : 'queued'
  }

  /** Number of occurrences of which all steps are done. */
  get doneOccurrences (): number {
    return this._doneOccurrences.size
  }

  /** Occurrences with progress that aren't done. */
  get startedOccurrences (): IterableIterator<number> {
    return this._steps.keys()
  }

  /** Number of occurrences up to the last one with progress; the journal has no progress of later ones. */
  get recordedOccurrences (): number {
    return this._recordedOccurrences
  }

  /** Whether all steps of an occurrence are done. */
  isOccurrenceDone (occurrence: number): boolean {
    return this._doneOccurrences.has(occurrence)
  }

  /** Whether all tasks of a step are done. */
  isStepDone (occurrence: number, step: number): boolean {
    return this._doneOccurrences.has(occurrence) || this._steps.get(occurrence)?.get(step)?.tasks === null
  }

  /** Returns the newest progress of a step's tasks, or null if nothing is recorded of it or the step is done. */
  taskProgress (occurrence: number, step: number): readonly TaskProgress[] | null {
    return this._steps.get(occurrence)?.get(step)?.tasks ?? null
  }

  /** Records that a cancellation was requested; the owner decides on it. */
  requestCancellation (): void {
    this._isCancellationRequested = true
  }

  /** Applies the owner's cancellation decision; a job that was completed before it stays completed. Returns true: the decision fits every job. */
  applyCancellation (offset: number): boolean {
    this._cancellationOffset = Math.min(this._cancellationOffset, offset)
    return true
  }

  /**
   * Applies the progress of a step, unless a newer record of it has been applied.
   *
   * @returns whether the record fits the job; one that has another number of tasks, or names no step of the job, isn't applied.
   */
  applyProgress (occurrence: number, step: number, tasks: readonly TaskProgress[], offset: number): boolean {
    const { occurrences, steps } = this.submission
    const definition = steps[step]
    if (!definition || !Number.isInteger(occurrence) || occurrence < 0 || occurrence >= occurrences || tasks.length !== definition.count) return false
    if (this._doneOccurrences.has(occurrence)) return true
    const views = this._steps.get(occurrence) ?? new Map<number, StepView>()
    if ((views.get(step)?.offset ?? -1) >= offset) return true
    const isDone = tasks.every(({ phase }) => phase === 'done')
    this._steps.set(occurrence, views.set(step, { offset, tasks: isDone ? null : tasks }))
    this._recordedOccurrences = Math.max(this._recordedOccurrences, occurrence + 1)
    this._hasFailed ||= tasks.some(({ phase }) => phase === 'failed')
    this._hasBegun ||= tasks.some(({ phase, hasBegun }) => phase !== 'placed' && hasBegun)
    if (isDone) this._closeIfDone(occurrence, views)
    return true
  }

  /** Whether a run is being started, or has been. */
  private get _hasPlacedTasks (): boolean {
    for (const views of this._steps.values()) for (const { tasks } of views.values()) if (tasks?.some(({ phase }) => phase === 'placed')) return true
    return false
  }

  /** Offset of the record that completed the job, or Infinity. */
  private get _completionOffset (): number {
    return this._doneOccurrences.size < this.submission.occurrences ? Infinity : this._doneOffset
  }

  private _closeIfDone (occurrence: number, views: ReadonlyMap<number, StepView>): void {
    if (views.size < this.submission.steps.length) return
    for (const { tasks } of views.values()) if (tasks !== null) return
    this._doneOffset = Math.max(this._doneOffset, ...[...views.values()].map(({ offset }) => offset))
    this._doneOccurrences.add(occurrence)
    this._steps.delete(occurrence)
  }
}
