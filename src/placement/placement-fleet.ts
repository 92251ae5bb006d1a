/**
 * Dependencies of placement on the side of the workers.
 */
import type { UnsettledStarts } from '../takeover/unsettled-starts.js'
import type { LostWorkerDetector } from '../workers/lost-worker-detector.js'
import type { WorkerTable } from '../workers/worker-table.js'
import type { ResourceReservations } from './resource-reservations.js'

/** The workers, what is reserved on them, and what keeps placement from using them. */
export interface PlacementFleet {
  readonly workers: WorkerTable
  readonly reservations: ResourceReservations
  readonly lostWorkers: LostWorkerDetector
  readonly unsettledStarts: UnsettledStarts
}
