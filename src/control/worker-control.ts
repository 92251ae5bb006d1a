/**
 * The platform's control over workers.
 */
import type { Either } from 'purify-ts/Either'
import type { WorkerUsageReport } from '../schemas/worker-usage-report.js'
import type { PlatformError } from '../state/platform-error.js'
import type { WorkerRun } from './worker-run.js'

/** Starts, stops and reports runs. */
export abstract class WorkerControl {
  /**
   * Starts a run. The worker carries a token out once, refuses one older than it has had
   * for the task, and refuses or stops a run whose lease deadline has passed.
   */
  abstract start (run: WorkerRun, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>>

  /** Stops a run after a checkpoint, if it is still there. */
  abstract stop (worker: string, task: string, token: number, deadline: number, signal: AbortSignal): Promise<Either<PlatformError, void>>

  /** The workers' runs, as the platform last heard of them. */
  abstract reports (deadline: number, signal: AbortSignal): Promise<Either<PlatformError, WorkerUsageReport[]>>
}
