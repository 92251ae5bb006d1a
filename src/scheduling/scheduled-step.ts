/**
 * The owner's view of a step of one occurrence.
 */
import type { StepDefinition } from '../jobs/step-definition.js'
import type { ScheduledJob } from './scheduled-job.js'
import type { ScheduledOccurrence } from './scheduled-occurrence.js'
import { ScheduledTask } from './scheduled-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'

/** A step that the owner schedules. It holds its tasks only while it is open: from when they may run until the journal shows that they are done. */
export class ScheduledStep {
  private _tasks: ScheduledTask[] = []
  private _isRecordedDone: boolean
  /** Whether a worker has crashed under any of the tasks. */
  hasCrashes = false

  /** @param _occurrence the occurrence that the step belongs to. */
  constructor (readonly job: ScheduledJob, private readonly _occurrence: ScheduledOccurrence, readonly index: number, readonly definition: StepDefinition) {
    const { view } = job
    this._isRecordedDone = view.isStepDone(this.occurrence, index)
    if (view.taskProgress(this.occurrence, index)) this.open()
  }

  /** Index of the occurrence. */
  get occurrence (): number {
    return this._occurrence.index
  }

  /** The tasks; empty unless the step is open. */
  get tasks (): readonly ScheduledTask[] {
    return this._tasks
  }

  /** Name of the step at the advice service. */
  get name (): string {
    return `${this.job.id}.${this.occurrence}.${this.index}`
  }

  /** Epoch milliseconds from which the step may start; 0 for at once. */
  get dueAt (): number {
    return this.job.dueAt(this.occurrence)
  }

  /** Whether the step holds its tasks. */
  get isOpen (): boolean {
    return this._tasks.length > 0
  }

  get isDone (): boolean {
    return this._isRecordedDone || (this.isOpen && this._tasks.every(({ phase }) => phase === 'done'))
  }

  /** Tasks that are not placed on a worker yet. */
  get waitingTasks (): ScheduledTask[] {
    return this._tasks.filter(({ phase }) => phase === 'waiting')
  }

  /** Whether all steps that this one depends on are done. */
  get isUnblocked (): boolean {
    return this.definition.after.every(earlier => this._occurrence.steps[earlier]?.isDone ?? false)
  }

  /** Creates the tasks in the state that the journal has of them. */
  open (): void {
    const progress = this.job.view.taskProgress(this.occurrence, this.index)
    this._tasks = Array.from({ length: this.definition.count }, (_, task) => new ScheduledTask(this, task, progress?.[task] ?? null))
    this.hasCrashes = this._tasks.some(({ crashes }) => !crashes.isEmpty)
  }

  /** Puts the copy of a task in the task's place. */
  replaceTask (copy: ScheduledTask): void {
    this._tasks[copy.index] = copy
  }

  /** Releases the tasks if the journal shows that they are done and no run of them is left. */
  closeIfDone (): void {
    if (!this.isOpen || !this.job.view.isStepDone(this.occurrence, this.index) || this._tasks.some(({ hasRuns }) => hasRuns)) return
    this._isRecordedDone = true
    this._tasks = []
  }

  /** Returns how many of its tasks have a run on a worker, copies included. */
  countOn (worker: FleetWorker): number {
    return this.tasks.filter(task => task.worker === worker || task.copy?.worker === worker).length
  }
}
