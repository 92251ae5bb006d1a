/**
 * Counts the usable VMs of each pool.
 */
import type { WorkerTable } from '../workers/worker-table.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { InventoryTask } from './inventory-task.js'

/** Age of a worker's last report beyond which the worker doesn't count as capacity, in milliseconds. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 3_000

/** Counts each VM once: a VM that is being moved counts for its destination, although both its old and its new worker may be listed. */
export class PoolCapacity {
  constructor (private readonly _workers: WorkerTable, private readonly _inventory: InventoryTask) {}

  /**
   * Returns the number of VMs that run tasks or are about to, by pool.
   *
   * @param moves moves in progress, by VM.
   */
  count (moves: ReadonlyMap<string, { readonly to: string }>, now: number): Map<string, number> {
    const sizes = new Map<string, number>()
    for (const virtualMachine of this._inventory.virtualMachines) {
      const destination = moves.get(virtualMachine.id)?.to
      if (destination === undefined && !this._countsAsCapacity(virtualMachine, now)) continue
      const pool = destination ?? virtualMachine.pool
      sizes.set(pool, (sizes.get(pool) ?? 0) + 1)
    }
    return sizes
  }

  /**
   * Returns the number of VMs that are in a standby pool or on their way there.
   *
   * @param moves moves in progress, by VM.
   */
  countStandby (standby: string, moves: ReadonlyMap<string, { readonly to: string }>): number {
    let count = 0
    for (const { id, pool, state } of this._inventory.virtualMachines) if ((moves.get(id)?.to ?? pool) === standby && state !== 'down') count += 1
    return count
  }

  private _countsAsCapacity (virtualMachine: FleetVirtualMachine, now: number): boolean {
    const worker = virtualMachine.state === 'up' ? this._workers.find(virtualMachine.worker) : null
    return worker !== null && this._workers.isSchedulable(worker) && Math.max(worker.lastReportAt, worker.firstSeenAt) >= now - MAXIMUM_REPORT_AGE_MILLISECONDS
  }
}
