/**
 * The lookup of VMs in the platform's list.
 */
import type { InventoryTask } from '../capacity/inventory-task.js'
import { VirtualMachineLookup } from './virtual-machine-lookup.js'

/** Time for which the VM of a worker that is no longer listed is remembered, in milliseconds: a lost worker is noticed seconds after its end. */
const RETENTION_MILLISECONDS = 60_000

/** Remembers the VM of each worker from the newest list that had it. */
export class ListedVirtualMachines extends VirtualMachineLookup {
  private readonly _placesByWorker = new Map<string, { readonly virtualMachine: string, readonly listedAt: number }>()
  private _readAt = 0

  constructor (private readonly _inventory: InventoryTask) {
    super()
  }

  override virtualMachineOf (workerId: string): string {
    const { listedAt } = this._inventory
    if (listedAt !== this._readAt) this._read(listedAt)
    return this._placesByWorker.get(workerId)?.virtualMachine ?? ''
  }

  private _read (listedAt: number): void {
    this._readAt = listedAt
    for (const { id, worker } of this._inventory.virtualMachines) if (worker !== '') this._placesByWorker.set(worker, { virtualMachine: id, listedAt })
    for (const [worker, place] of this._placesByWorker) if (place.listedAt < listedAt - RETENTION_MILLISECONDS) this._placesByWorker.delete(worker)
  }
}
