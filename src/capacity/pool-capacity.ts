/**
 * How many VMs each pool can count on.
 */
import type { WorkerTable } from '../scheduling/worker-table.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { InventoryTask } from './inventory-task.js'

/** Age of a worker's last report beyond which it doesn't count as capacity, in milliseconds. */
const SILENCE_MILLISECONDS = 3_000

/** Counts each VM once: a VM on its way, whose old worker may still be listed and whose new one already is, counts for its destination. */
export class PoolCapacity {
  constructor (private readonly _roster: WorkerTable, private readonly _inventory: InventoryTask) {}

  /**
   * VMs that take tasks or are about to, by pool.
   *
   * @param moves under way, by VM.
   */
  count (moves: ReadonlyMap<string, { readonly to: string }>, now: number): Map<string, number> {
    const sizes = new Map<string, number>()
    for (const machine of this._inventory.machines) {
      const destination = moves.get(machine.id)?.to
      if (destination === undefined && !this._isUsable(machine, now)) continue
      const pool = destination ?? machine.pool
      sizes.set(pool, (sizes.get(pool) ?? 0) + 1)
    }
    return sizes
  }

  private _isUsable (machine: FleetVirtualMachine, now: number): boolean {
    const worker = machine.state === 'up' ? this._roster.find(machine.worker) : null
    return worker !== null && this._roster.isSchedulable(worker) && Math.max(worker.lastReportAt, worker.firstSeenAt) >= now - SILENCE_MILLISECONDS
  }
}
