/**
 * One run of a task on a worker.
 */

/** The run as it is ordered from the worker. */
export interface WorkerRun {
  readonly worker: string
  readonly task: string
  /** Fencing token: a run with a larger token ends all runs of the task with smaller ones. */
  readonly token: number
  /** Epoch milliseconds at which the worker stops the run by itself. */
  readonly leaseDeadline: number
  readonly payload: string
}
