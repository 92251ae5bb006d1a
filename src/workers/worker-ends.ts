/**
 * Interface to what the platform knows of the ends of workers.
 */
import type { FleetWorker } from './fleet-worker.js'

/** Tells workers that have ended from those that are only silent, whoever ended them and whatever owners are lost. */
export abstract class WorkerEnds {
  /**
   * Returns whether the present incarnation of a worker has certainly ended: `by-order` if an order took its VM down, `unexplained` otherwise, null while
   * that isn't known. An end that has been returned holds for good; another incarnation under the ID may follow.
   *
   * @param since epoch milliseconds after which no incarnation under the ID may have been there either, as far as the platform was asked after that.
   */
  abstract endOf (worker: FleetWorker, since?: number): 'by-order' | 'unexplained' | null

  /** Returns whether a worker's VM is gone, has another worker or gets one: no incarnation under the ID is there, and none follows. */
  abstract isReplaced (worker: FleetWorker): boolean

  /** Asks the platform more often until `deadline` (epoch milliseconds). */
  abstract expectUntil (deadline: number): void
}
