/**
 * The owner's view of one occurrence of a job.
 */
import type { ScheduledJob } from './scheduled-job.js'
import { ScheduledStep } from './scheduled-step.js'

/** An occurrence with its steps. */
export class ScheduledOccurrence {
  readonly steps: readonly ScheduledStep[]

  constructor (job: ScheduledJob, readonly index: number) {
    this.steps = job.view.submission.steps.map((definition, step) => new ScheduledStep(job, this, step, definition))
  }

  /** Whether all steps are done. */
  get isDone (): boolean {
    return this.steps.every(({ isDone }) => isDone)
  }

  /** Whether it is done, and no step holds tasks. */
  get isClosed (): boolean {
    return this.steps.every(({ isOpen, isDone }) => isDone && !isOpen)
  }

  /** Number of steps and of the tasks that they hold. */
  get size (): number {
    return this.steps.reduce((sum, { tasks }) => sum + tasks.length, this.steps.length)
  }
}
