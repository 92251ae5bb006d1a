/**
 * Calls to one worker.
 */
import type { Either } from 'purify-ts/Either'
import type { StartRunOrder } from './start-run-order.js'
import type { WorkerError } from './worker-error.js'
import type { WorkerReport } from './worker-report.js'

/** A request to hold what runs and to report. */
interface HoldRequest {
  /** Until when everything that runs may go on, on the worker's clock; null leaves it as it is. */
  readonly leaseDeadline: number | null
  /** Ends up to this number are acknowledged. */
  readonly acknowledged: number
  /** How long the worker may wait for an end before it answers, in milliseconds. */
  readonly waitMilliseconds: number
}

/** One worker in one incarnation, called under one term. */
export abstract class WorkerClient {
  /** Starts a run. Repeating it for a run that is there changes nothing. */
  abstract start (order: StartRunOrder, leaseDeadline: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, void>>

  /** Stops a run, or keeps it from starting later. */
  abstract stop (task: string, run: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, void>>

  /** Extends the lease and lists what runs and what has ended. */
  abstract renewLease (request: HoldRequest, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, WorkerReport>>

  /** Lets a run work at a share of its speed, in percent. */
  abstract throttle (task: string, run: number, percent: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, void>>

  /** Closes all connections. */
  abstract close (): Promise<void>
}
