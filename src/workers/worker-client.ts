/**
 * Interface for calls to a worker.
 */
import type { Either } from 'purify-ts/Either'
import type { OrderFence } from '../leases/order-fence.js'
import type { StartRunOrder } from '../runs/start-run-order.js'
import type { WorkerError } from './worker-error.js'
import type { WorkerReport } from './worker-report.js'

/** A request to renew the lease on a worker's runs and to return a report. */
interface LeaseRenewalRequest {
  /** Deadline, on the worker's clock, until which all runs may go on; null keeps the current deadline. */
  readonly leaseDeadline: number | null
  /** Run completions up to this sequence number are acknowledged. */
  readonly acknowledged: number
  /** Time for which the worker may wait for a run completion before it responds. */
  readonly waitMilliseconds: number
}

/** Client of a worker. Each call carries the fencing token that is in force when it is made. */
export abstract class WorkerClient {
  constructor (readonly fence: OrderFence) {}

  /**
   * Starts a run. Idempotent for a run that has started already.
   *
   * @returns the reading of the worker's clock, in milliseconds, which tells the incarnation that has accepted the run; null if the response has none.
   */
  abstract start (order: StartRunOrder, leaseDeadline: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, number | null>>

  /**
   * Stops a run, or keeps it from starting if it has not started yet.
   *
   * @returns the same as `start`.
   */
  abstract stop (taskName: string, run: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, number | null>>

  /** Renews the lease and returns the active and the completed runs. */
  abstract renewLease (request: LeaseRenewalRequest, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, WorkerReport>>

  /** Throttles a run to a percentage of its full speed; 0 pauses it. */
  abstract throttle (taskName: string, run: number, percent: number, deadline: number, signal: AbortSignal): Promise<Either<WorkerError, void>>

  /** Closes all connections. */
  abstract close (): Promise<void>
}
