/**
 * Interface through which the owner passes on what it learns of runs and their workers.
 */
import type { AttributedCrash } from '../crashes/attributed-crash.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { WorkerReport } from '../workers/worker-report.js'

/** Receives outcomes before the schedule applies them, while each task still shows the run in question. */
export abstract class RunOutcomeObserver {
  /**
   * A worker has reported the completion of a run, which may not be the task's present one.
   *
   * @param heardAt epoch milliseconds of the worker's report before this one; 0 for none.
   */
  abstract runCompleted (worker: FleetWorker, task: ScheduledTask, completion: WorkerReport['ended'][number], heardAt: number): void

  /** A worker's incarnation has ended unplanned, and runs with it. `crashes` has those that may have caused it, and others. */
  abstract workerLost (worker: FleetWorker, crashes: readonly AttributedCrash[]): void

  /** A worker has accepted a start order. */
  abstract startAccepted (worker: FleetWorker): void

  /** A start order, sent at `sentAt` (epoch milliseconds), got no response. */
  abstract startUnanswered (worker: FleetWorker, sentAt: number): void
}
