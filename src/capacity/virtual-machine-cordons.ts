/**
 * Keeps new runs off the workers of VMs that are about to be moved or maintained.
 */
import type { WorkerTable } from '../workers/worker-table.js'
import type { Clock } from '../supervision/clock.js'
import type { InventoryTask } from './inventory-task.js'

/** Cordon of one VM. */
interface Cordon {
  /** IDs of all workers that the VM has had since. */
  readonly workers: Set<string>
  /** Epoch milliseconds since which the newest of them is cordoned. */
  since: number
}

/** Cordons of VMs. A VM's worker can be replaced, or forgotten and listed again, so the cordon belongs to the VM. */
export class VirtualMachineCordons {
  private readonly _cordons = new Map<string, Cordon>()

  constructor (private readonly _workers: WorkerTable, private readonly _inventory: InventoryTask, private readonly _clock: Clock) {}

  /** Cordons the worker that the newest list shows on a VM; called again in each round until the order to the VM is known to be carried out. Returns whether it has no tasks. */
  cordon (virtualMachine: string): boolean {
    const worker = this._inventory.virtualMachineById(virtualMachine)?.worker ?? ''
    this.cordonWorker(virtualMachine, worker)
    return (this._workers.find(worker)?.tasks.size ?? 0) === 0
  }

  /** Cordons the worker that a VM had, empty for none, before a list shows whether it still has it. */
  cordonWorker (virtualMachine: string, worker: string): void {
    const cordon = this._cordons.get(virtualMachine) ?? { workers: new Set(), since: this._clock.now() }
    this._cordons.set(virtualMachine, cordon)
    if (worker === '' || cordon.workers.has(worker)) return
    cordon.workers.add(worker)
    cordon.since = this._clock.now()
    this._workers.cordon(worker)
  }

  /** Cordons as above. Returns whether the worker has no tasks and a list requested since then shows that it is still the VM's worker. */
  isEvacuated (virtualMachine: string): boolean {
    const hasNoTasks = this.cordon(virtualMachine)
    return hasNoTasks && this._inventory.listedAt >= (this._cordons.get(virtualMachine)?.since ?? Infinity)
  }

  /** Lets the VM's workers get new tasks again. */
  lift (virtualMachine: string): void {
    for (const worker of this._cordons.get(virtualMachine)?.workers ?? []) this._workers.liftCordon(worker)
    this._cordons.delete(virtualMachine)
  }
}
