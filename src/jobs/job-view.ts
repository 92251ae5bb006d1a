/**
 * State of one job, built from the journal.
 */
import type { JobState } from './job-state.js'
import type { JobSubmission } from './job-submission.js'
import type { TaskProgress } from './task-progress.js'

/** Progress of one step of one occurrence. */
interface StepView {
  /** Offset of the record with this progress. */
  readonly offset: number
  readonly tasks: readonly TaskProgress[]
  readonly isDone: boolean
  readonly hasFailed: boolean
  readonly hasStarted: boolean
}

/** Applies the records of one job. A record may be read more than once; an older one never replaces a newer one. */
export class JobView {
  private readonly _steps = new Map<string, StepView>()
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
    return this._cancellationOffset < this._completionOffset()
  }

  /** State as reported to callers. */
  get state (): JobState {
    if (this.isCancelled) return 'cancelled'
    const steps = [...this._steps.values()]
    if (steps.some(({ hasFailed }) => hasFailed)) return 'failed'
    if (this._completionOffset() < Infinity) return 'completed'
    return steps.some(({ hasStarted }) => hasStarted) ? 'running' : 'queued'
  }

  /** Returns the newest progress of a step's tasks, or null if nothing is recorded of it. */
  taskProgress (occurrence: number, step: number): readonly TaskProgress[] | null {
    return this._steps.get(`${occurrence}.${step}`)?.tasks ?? null
  }

  /** Records that a cancellation was requested; the owner decides on it. */
  requestCancellation (): void {
    this._isCancellationRequested = true
  }

  /** Applies the owner's cancellation decision; a job that was completed before it stays completed. */
  applyCancellation (offset: number): void {
    this._cancellationOffset = Math.min(this._cancellationOffset, offset)
  }

  /** Applies the progress of a step, unless a newer record of it has been applied. */
  applyProgress (occurrence: number, step: number, tasks: readonly TaskProgress[], offset: number): void {
    const key = `${occurrence}.${step}`
    if ((this._steps.get(key)?.offset ?? -1) >= offset) return
    this._steps.set(key, {
      offset,
      tasks,
      isDone: tasks.every(({ phase }) => phase === 'done'),
      hasFailed: tasks.some(({ phase }) => phase === 'failed'),
      hasStarted: tasks.some(({ run }) => run > 0)
    })
  }

  /** Returns the offset of the record that completed the job, or Infinity. */
  private _completionOffset (): number {
    const { occurrences, steps } = this.submission
    if (this._steps.size < occurrences * steps.length) return Infinity
    let offset = 0
    for (const step of this._steps.values()) {
      if (!step.isDone) return Infinity
      offset = Math.max(offset, step.offset)
    }
    return offset
  }
}
