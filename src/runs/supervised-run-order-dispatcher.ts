/**
 * Dispatch of orders to workers, one supervised task for each.
 */
import type { Supervisor } from '../supervision/supervisor.js'
import type { Task } from '../supervision/task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import { RunOrderDispatcher } from '../runs/run-order-dispatcher.js'

/** Starts a task under the supervisor for each order; a stop order already in progress is not started again. */
export class SupervisedRunOrderDispatcher extends RunOrderDispatcher {
  private readonly _pendingStops = new Set<string>()

  constructor (
    private readonly _supervisor: Supervisor,
    private readonly _createStartTask: (task: ScheduledTask, worker: FleetWorker) => Task,
    private readonly _createStopTask: (worker: FleetWorker, taskName: string, run: number) => Task
  ) {
    super()
  }

  override start (task: ScheduledTask, worker: FleetWorker): void {
    this._supervisor.start(this._createStartTask(task, worker))
  }

  override stop (worker: FleetWorker, taskName: string, run: number): void {
    const key = `${worker.entry.id} ${taskName} ${run}`
    if (this._pendingStops.has(key)) return
    this._pendingStops.add(key)
    this._supervisor.start(this._createStopTask(worker, taskName, run)).ended.finally(() => this._pendingStops.delete(key))
  }
}
