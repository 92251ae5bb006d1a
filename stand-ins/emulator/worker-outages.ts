/**
 * Outages after which a worker gives no sign of itself.
 */
import type { EmulatedRegistry } from './emulated-registry.js'
import type { EmulatedVirtualMachines } from './emulated-virtual-machines.js'
import type { EmulatedWorker } from './emulated-worker.js'

/** Silences workers without their connections being refused, and lets their registry entries expire. */
export class WorkerOutages {
  constructor (private readonly _registry: EmulatedRegistry, private readonly _virtualMachines: EmulatedVirtualMachines) {}

  /**
   * Ends a worker whose VM loses power: its runs are over, calls to it get no response, and its VM is listed as down.
   *
   * @param entryExpiresAt epoch milliseconds at which its registry entry expires; by default when entries of silent workers do.
   */
  cutPower (worker: EmulatedWorker, entryExpiresAt?: number): void {
    worker.isDisconnected = true
    worker.terminate()
    this._virtualMachines.workerEnded(worker)
    this._registry.expire(worker, entryExpiresAt)
  }

  /** Cuts a worker off from everything else; its runs go on until its lease expires, and its VM is listed as before. */
  disconnect (worker: EmulatedWorker): void {
    worker.isDisconnected = true
    this._registry.expire(worker)
  }

  /** Connects a worker again, which then registers, unless it has ended meanwhile. */
  reconnect (worker: EmulatedWorker): void {
    if (worker.isTerminated) return
    worker.isDisconnected = false
    this._registry.register(worker)
  }
}
