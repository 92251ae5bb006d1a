/**
 * A job as the owner drives it.
 */
import type { JobView } from '../jobs/job-view.js'
import type { JobQueue } from '../configuration/job-queue.js'
import { ScheduledStep } from './scheduled-step.js'

/** All steps of all occurrences of a job. */
export class ScheduledJob {
  readonly steps: readonly ScheduledStep[]
  /** Whether a cancellation was taken in before the job was over. */
  isCancelled = false
  hasFailed = false

  /** @param view the job as the journal tells it, from which the owner goes on. */
  constructor (readonly view: JobView) {
    const { occurrences, steps } = view.submission
    this.steps = Array.from({ length: occurrences }, (_, occurrence) =>
      steps.map((definition, index) => new ScheduledStep(this, occurrence, index, definition))).flat()
    this.isCancelled = view.isCancelled
    this.hasFailed = this.steps.some(step => step.tasks.some(({ phase }) => phase === 'failed'))
  }

  /** ID that the submitter chose. */
  get id (): string {
    return this.view.submission.id
  }

  /** Whether nothing more of the job is to start. */
  get isOver (): boolean {
    return this.isCancelled || this.hasFailed || this.steps.every(({ isDone }) => isDone)
  }

  /** Whether the job lasts until it is cancelled. */
  get isLasting (): boolean {
    return this.steps.some(({ definition }) => definition.isLasting)
  }

  /** A step of an occurrence, or null. */
  step (occurrence: number, index: number): ScheduledStep | null {
    return this.steps[occurrence * this.view.submission.steps.length + index] ?? null
  }

  /** Estimated time of the longest chain of steps that are still to be done from a step on, in milliseconds. */
  criticalPathMilliseconds (from: ScheduledStep): number {
    const { steps } = this.view.submission
    const chains = new Array<number>(steps.length).fill(0)
    for (let index = steps.length - 1; index >= from.index; index--) {
      const following = steps.flatMap(({ after }, later) => after.includes(index) ? [chains[later] ?? 0] : [])
      chains[index] = (steps[index]?.estimateMilliseconds ?? 0) + Math.max(0, ...following)
    }
    return chains[from.index] ?? 0
  }

  /** Moment (epoch milliseconds) until which an occurrence still finishes in good time. */
  targetCompletionAt (occurrence: number, queue: JobQueue): number {
    const { steps, submittedAt } = this.view.submission
    const first = this.step(occurrence, 0)
    const chain = Math.max(0, ...steps.map((_, index) => {
      const step = this.step(occurrence, index)
      return step ? this.criticalPathMilliseconds(step) : 0
    }))
    return Math.max(submittedAt, first?.dueAt ?? 0) + queue.stretch * chain + queue.targetLatencyMilliseconds
  }
}
