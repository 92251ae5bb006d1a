/**
 * Interface through which the schedule sends orders to workers.
 */
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'

/** Sends each order in a task of its own, which reports the outcome to the schedule. */
export abstract class RunOrderDispatcher {
  /** Starts the current run of a task on its worker. */
  abstract start (task: ScheduledTask, worker: FleetWorker): void

  /** Stops a run, or keeps it from starting if it has not started yet. */
  abstract stop (worker: FleetWorker, taskName: string, run: number): void
}
