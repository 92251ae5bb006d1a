/**
 * The ends of workers as the platform's lists of VMs show them.
 */
import { WorkerEnds } from '../workers/worker-ends.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { InventoryTask } from './inventory-task.js'
import { LIST_LAG_ALLOWANCE_MILLISECONDS } from './list-lag-allowance.js'
import type { WorkerListings } from './worker-listings.js'

/** Takes a worker for ended when two lists in a row lack it that were requested long enough after this owner knew it to be alive, or to have been. */
export class ListedWorkerEnds extends WorkerEnds {
  constructor (private readonly _listings: WorkerListings, private readonly _inventory: InventoryTask) {
    super()
  }

  override endOf ({ entry: { id }, incarnationKnownAt, lastReportAt }: FleetWorker, since = 0): 'by-order' | 'unexplained' | null {
    if (!this._listings.isMissing(id, Math.max(incarnationKnownAt, lastReportAt, since) + LIST_LAG_ALLOWANCE_MILLISECONDS)) return null
    return this._listings.isTakenDown(id) ? 'by-order' : 'unexplained'
  }

  override isReplaced ({ entry: { id }, incarnationKnownAt, lastReportAt }: FleetWorker): boolean {
    return this._listings.isReplaced(id, Math.max(incarnationKnownAt, lastReportAt) + LIST_LAG_ALLOWANCE_MILLISECONDS)
  }

  override expectUntil (deadline: number): void {
    this._inventory.expectChangesUntil(deadline)
  }
}
