/**
 * Orders to workers, as the schedule gives them.
 */
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledTask } from './scheduled-task.js'

/** Each order runs in a task of its own; its outcome comes back to the schedule. */
export abstract class RunOrders {
  /** Starts the present run of a task on its worker. */
  abstract start (task: ScheduledTask, worker: FleetWorker): void

  /** Stops a run, whether or not it is there yet. */
  abstract stop (worker: FleetWorker, task: string, run: number): void
}
