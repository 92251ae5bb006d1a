/**
 * The owner's view of a step of one occurrence.
 */
import type { StepDefinition } from '../jobs/step-definition.js'
import type { ScheduledJob } from './scheduled-job.js'
import { ScheduledTask } from './scheduled-task.js'

/** A step that the owner schedules, with its tasks. */
export class ScheduledStep {
  readonly tasks: readonly ScheduledTask[]
  /** Whether a worker has crashed under any of the tasks. */
  hasCrashes: boolean

  constructor (readonly job: ScheduledJob, readonly occurrence: number, readonly index: number, readonly definition: StepDefinition) {
    const progress = job.view.taskProgress(occurrence, index)
    this.tasks = Array.from({ length: definition.count }, (_, task) => new ScheduledTask(this, task, progress?.[task] ?? null))
    this.hasCrashes = this.tasks.some(({ crashes }) => !crashes.isEmpty)
  }

  /** Name of the step at the advice service. */
  get name (): string {
    return `${this.job.id}.${this.occurrence}.${this.index}`
  }

  /** Epoch milliseconds from which the step may start; 0 for at once. */
  get dueAt (): number {
    const { startAt, view: { submission: { intervalMilliseconds } } } = this.job
    return startAt === 0 ? 0 : startAt + this.occurrence * intervalMilliseconds
  }

  get isDone (): boolean {
    return this.tasks.every(({ phase }) => phase === 'done')
  }

  /** Tasks that are not placed on a worker yet. */
  get waitingTasks (): ScheduledTask[] {
    return this.tasks.filter(({ phase }) => phase === 'waiting')
  }

  /** Whether all steps that this one depends on are done. */
  get isUnblocked (): boolean {
    return this.definition.after.every(earlier => this.job.step(this.occurrence, earlier)?.isDone ?? false)
  }
}
