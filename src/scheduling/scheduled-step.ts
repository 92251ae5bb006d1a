/**
 * A step of one occurrence as the owner drives it.
 */
import type { StepDefinition } from '../jobs/step-definition.js'
import type { ScheduledJob } from './scheduled-job.js'
import { ScheduledTask } from './scheduled-task.js'

/** Tasks of one step, with how many of them are done. */
export class ScheduledStep {
  readonly tasks: readonly ScheduledTask[]
  constructor (readonly job: ScheduledJob, readonly occurrence: number, readonly index: number, readonly definition: StepDefinition) {
    const rows = job.view.taskProgress(occurrence, index)
    this.tasks = Array.from({ length: definition.count }, (_, task) => new ScheduledTask(this, task, rows?.[task] ?? null))
  }

  /** Name that the advice service knows the step by. */
  get name (): string {
    return `${this.job.id}.${this.occurrence}.${this.index}`
  }

  /** Epoch milliseconds from which the step may start. */
  get dueAt (): number {
    const { startAt, intervalMilliseconds } = this.job.view.submission
    return startAt === 0 ? 0 : startAt + this.occurrence * intervalMilliseconds
  }

  /** Whether every task is done. */
  get isDone (): boolean {
    return this.tasks.every(({ phase }) => phase === 'done')
  }

  /** Tasks that wait for a worker. */
  get waiting (): ScheduledTask[] {
    return this.tasks.filter(({ phase }) => phase === 'waiting')
  }

  /** Whether all earlier steps that this one waits for are done. */
  get isUnblocked (): boolean {
    return this.definition.after.every(earlier => this.job.step(this.occurrence, earlier)?.isDone ?? false)
  }
}
