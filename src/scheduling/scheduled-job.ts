/**
 * The owner's view of a job.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import type { JobView } from '../jobs/job-view.js'
import type { JobQueue } from '../configuration/job-queue.js'
import { ScheduledStep } from './scheduled-step.js'

/** A job that the owner schedules, with all steps of all occurrences. */
export class ScheduledJob {
  readonly steps: readonly ScheduledStep[]
  /** Estimated duration of the longest chain of dependent steps that begins with each step of an occurrence, in milliseconds. */
  private readonly _pathMilliseconds: readonly number[]
  /** Estimated work of the steps after each step of an occurrence, in millicores times milliseconds. */
  private readonly _workAfter: readonly number[]
  /** Whether a cancellation was applied before the job had finished. */
  isCancelled = false
  hasFailed = false

  /** Epoch milliseconds, on this process's clock, of the submission and of the due time of occurrence 0; 0 if that is due at once. */
  readonly submittedAt: number
  readonly startAt: number

  /** @param view state of the job in the journal, from which the schedule starts. */
  constructor (readonly view: JobView, fleetTime: FleetTime) {
    const { occurrences, steps, submittedAt, startAt } = view.submission
    this.submittedAt = fleetTime.toLocal(submittedAt)
    this.startAt = startAt === 0 ? 0 : fleetTime.toLocal(startAt)
    this.steps = Array.from({ length: occurrences }, (_, occurrence) =>
      steps.map((definition, index) => new ScheduledStep(this, occurrence, index, definition))).flat()
    this._pathMilliseconds = this._longestPaths()
    this._workAfter = this._laterWork()
    this.isCancelled = view.isCancelled
    this.hasFailed = this.steps.some(step => step.tasks.some(({ phase }) => phase === 'failed'))
  }

  /** ID that the submitter chose. */
  get id (): string {
    return this.view.submission.id
  }

  /** Whether no more tasks of the job are to start; tasks of a failed or cancelled job may still be running. */
  get isFinished (): boolean {
    return this.isCancelled || this.hasFailed || this.steps.every(({ isDone }) => isDone)
  }

  /** Whether the job runs until it is cancelled. */
  get isLasting (): boolean {
    return this.steps.some(({ definition }) => definition.isLasting)
  }

  /** Returns a step of an occurrence, or null. */
  step (occurrence: number, index: number): ScheduledStep | null {
    return this.steps[occurrence * this.view.submission.steps.length + index] ?? null
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
    const dueAt = this.step(occurrence, 0)?.dueAt ?? 0
    return Math.max(this.submittedAt, dueAt) + queue.stretch * Math.max(0, ...this._pathMilliseconds) + queue.targetLatencyMilliseconds
  }

  private _laterWork (): number[] {
    const { steps } = this.view.submission
    const work = steps.map(({ count, demand, estimateMilliseconds }) => count * demand.millicores * estimateMilliseconds)
    return work.map((_, index) => work.slice(index + 1).reduce((sum, stepWork) => sum + stepWork, 0))
  }

  private _longestPaths (): number[] {
    const { steps } = this.view.submission
    const paths = new Array<number>(steps.length).fill(0)
    for (let index = steps.length - 1; index >= 0; index--) {
      const successors = steps.flatMap(({ after }, laterIndex) => after.includes(index) ? [paths[laterIndex] ?? 0] : [])
      paths[index] = (steps[index]?.estimateMilliseconds ?? 0) + Math.max(0, ...successors)
    }
    return paths
  }
}
