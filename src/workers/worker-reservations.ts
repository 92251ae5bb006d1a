/**
 * The reservations of a worker's capacity.
 */
import type { Resources } from '../jobs/resources.js'
import { addResources } from '../placement/add-resources.js'
import { fitsWithin } from '../placement/fits-within.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { WorkerEntry } from '../workers/worker-entry.js'

/** Time for which a task waits for the worker that it is bound to, while the worker responds, in milliseconds: no placement may succeed there. */
const BINDING_PATIENCE_MILLISECONDS = 2_000

const NO_RESOURCES: Resources = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }

/** Counts what the tasks on a worker reserve. */
export abstract class WorkerReservations {
  /** Registry entry, which has the capacity. */
  abstract entry: WorkerEntry
  /** Tasks with a reservation on the worker. */
  readonly tasks = new Set<ScheduledTask>()
  /** Tasks that may start under the worker's ID only, because a start of an earlier run may still be carried out there. */
  readonly boundTasks = new Set<ScheduledTask>()
  /** Those of them beside which nothing else may start while they are on trial. */
  private readonly _isolatedTasks = new Set<ScheduledTask>()
  private _reserved: Resources = NO_RESOURCES

  /** Resources without a reservation. */
  get available (): Resources {
    return addResources(this.entry.capacity, this._reserved, -1)
  }

  /** Sum of all reservations. */
  get reserved (): Resources {
    return this._reserved
  }

  /** Whether a task has a run on the worker, or may start under its ID only: it is called until it has no such task. */
  get isNeeded (): boolean {
    return this.tasks.size > 0 || this.boundTasks.size > 0
  }

  /** Whether the reservations exceed the capacity, which may have shrunk. */
  get isOvercommitted (): boolean {
    return !fitsWithin(this._reserved, this.entry.capacity)
  }

  /** Returns whether the available resources cover a demand. */
  hasCapacityFor (demand: Resources): boolean {
    return fitsWithin(demand, this.available)
  }

  /** Whether an isolated run on trial keeps a task from starting on the worker; those that are isolated together with it do not. */
  blocksStartOf (task: ScheduledTask): boolean {
    for (const isolated of this._isolatedTasks) if (isolated.isOnTrial && isolated.isolationGroup !== task.isolationGroup) return true
    return false
  }

  /** Reserves resources for a task; does nothing if the task already has a reservation. */
  reserve (task: ScheduledTask): void {
    if (this.tasks.has(task)) return
    this.tasks.add(task)
    if (task.isIsolated) this._isolatedTasks.add(task)
    this._reserved = addResources(this._reserved, task.reservation)
  }

  /** Lets a task start under the worker's ID only. */
  bind (task: ScheduledTask, now: number): void {
    this.boundTasks.add(task)
    this.extendBinding(task, now)
  }

  /** Extends the wait of a bound task, while the worker doesn't respond. */
  extendBinding (task: ScheduledTask, now: number): void {
    task.bindingDeadline = now + BINDING_PATIENCE_MILLISECONDS
  }

  /** Lets a bound task start anywhere. */
  unbind (task: ScheduledTask): void {
    this.boundTasks.delete(task)
    task.lateStart = null
  }

  /** Releases a task's reservation, if it has one. */
  release (task: ScheduledTask): void {
    if (!this.tasks.delete(task)) return
    this._isolatedTasks.delete(task)
    this._reserved = addResources(this._reserved, task.reservation, -1)
  }
}
