/**
 * A job as the journal tells it.
 */
import type { JobState } from './job-state.js'
import type { JobSubmission } from './job-submission.js'
import type { TaskProgress } from './task-progress.js'

/** Progress of one step of one occurrence. */
interface StepView {
  /** Offset of the record that the rows come from. */
  readonly offset: number
  readonly tasks: readonly TaskProgress[]
  readonly isDone: boolean
  readonly hasFailed: boolean
  readonly hasStarted: boolean
}

/** Folds the records of one job. Records may come twice; older ones never replace newer ones. */
export class JobView {
  private readonly _steps = new Map<string, StepView>()
  private _cancelledAt = Infinity
  private _isCancellationRequested = false

  constructor (readonly submission: JobSubmission) {}

  /** Whether somebody asked for the job's cancellation. It may have been complete before. */
  get isCancellationRequested (): boolean {
    return this._isCancellationRequested
  }

  /** Whether the owner has decided that the job is cancelled. */
  get isCancelled (): boolean {
    return this._cancelledAt < this._completedAt()
  }

  /** What callers are told. */
  get state (): JobState {
    if (this.isCancelled) return 'cancelled'
    const steps = [...this._steps.values()]
    if (steps.some(({ hasFailed }) => hasFailed)) return 'failed'
    if (this._completedAt() < Infinity) return 'completed'
    return steps.some(({ hasStarted }) => hasStarted) ? 'running' : 'queued'
  }

  /** The newest rows of a step, or null if nothing is recorded of it. */
  taskProgress (occurrence: number, step: number): readonly TaskProgress[] | null {
    return this._steps.get(`${occurrence}.${step}`)?.tasks ?? null
  }

  /** Notes that a cancellation was asked for; the owner decides on it. */
  requestCancellation (): void {
    this._isCancellationRequested = true
  }

  /** Notes the owner's decision; a job that was complete before it stays completed. */
  cancel (offset: number): void {
    this._cancelledAt = Math.min(this._cancelledAt, offset)
  }

  /** Takes in a step's record, unless a newer one is known. */
  progress (occurrence: number, step: number, tasks: readonly TaskProgress[], offset: number): void {
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

  private _completedAt (): number {
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
