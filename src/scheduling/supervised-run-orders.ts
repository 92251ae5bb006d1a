/**
 * Gives each order a task under a supervisor.
 */
import type { Supervisor } from '../supervision/supervisor.js'
import type { Task } from '../supervision/task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { OwnedTask } from './owned-task.js'
import { RunOrderDispatcher } from './run-orders.js'

/** The construction module says how the tasks are made. */
export class SupervisedRunOrders extends RunOrderDispatcher {
  private readonly _pendingStops = new Set<string>()

  constructor (
    private readonly _supervisor: Supervisor,
    private readonly _createStartTask: (task: OwnedTask, worker: FleetWorker) => Task,
    private readonly _createStopTask: (worker: FleetWorker, task: string, run: number) => Task
  ) {
    super()
  }

  override start (task: OwnedTask, worker: FleetWorker): void {
    this._supervisor.start(this._createStartTask(task, worker))
  }

  override stop (worker: FleetWorker, task: string, run: number): void {
    const key = `${worker.entry.id} ${task} ${run}`
    if (this._pendingStops.has(key)) return
    this._pendingStops.add(key)
    this._supervisor.start(this._createStopTask(worker, task, run)).ended.finally(() => this._pendingStops.delete(key))
  }
}
