/**
 * Interface to the platform's control over workers.
 */
import type { Either } from 'purify-ts/Either'
import type { WorkerUsageReport } from '../schemas/worker-usage-report.js'
import type { PlatformError } from '../state/platform-error.js'
import type { WorkerRun } from './worker-run.js'

/** Starts and stops runs, and lists them. */
export abstract class WorkerControl {
  /**
   * Starts a run. The worker executes each token once, refuses a token lower than one it has received for the task,
   * and refuses or stops a run whose lease deadline has passed.
   */
  abstract start (run: WorkerRun, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>>

  /** Stops a run after a checkpoint, if it is still running. */
  abstract stop (worker: string, task: string, token: number, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>>

  /** The runs of all workers, as last reported to the platform. */
  abstract reports (deadline: number, signal: AbortSignal): Promise<Either<PlatformError, WorkerUsageReport[]>>
}
