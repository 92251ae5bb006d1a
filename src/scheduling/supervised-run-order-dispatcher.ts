/**
 * Gives each order a task under a supervisor.
 */
import type { Supervisor } from '../supervision/supervisor.js'
import type { Task } from '../supervision/task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledTask } from './scheduled-task.js'
import { RunOrders } from './run-order-dispatcher.js'

/** The construction module says how the tasks are made. */
export class SupervisedRunOrderDispatcher extends RunOrders {
  private readonly _stopping = new Set<string>()

  constructor (
    private readonly _supervisor: Supervisor,
    private readonly _createStart: (task: ScheduledTask, worker: FleetWorker) => Task,
    private readonly _createStop: (worker: FleetWorker, task: string, run: number) => Task
  ) {
    super()
  }

  override start (task: ScheduledTask, worker: FleetWorker): void {
    this._supervisor.start(this._createStart(task, worker))
  }

  override stop (worker: FleetWorker, task: string, run: number): void {
    const key = `${worker.entry.id} ${task} ${run}`
    if (this._stopping.has(key)) return
    this._stopping.add(key)
    this._supervisor.start(this._createStop(worker, task, run)).ended.finally(() => this._stopping.delete(key))
  }
}
