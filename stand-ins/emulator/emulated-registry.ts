/**
 * The entries of the workers in the emulated registry.
 */
import type { Clock } from '../../src/supervision/clock.js'
import type { EmulatedStore } from './emulated-store.js'
import type { EmulatedWorker } from './emulated-worker.js'
import { workerRegistryEntry } from './worker-registry-entry.js'

/** Topic of the registry. */
const TOPIC = 'keyed.servers'

/** Time without contact after which a worker's entry is deleted, in milliseconds. */
const ENTRY_EXPIRY_MILLISECONDS = 4_500

/** Writes the entries of workers, and deletes those of workers that have ended or fallen silent. */
export class EmulatedRegistry {
  /**
   * @param _rackOf returns the rack of a VM.
   * @param _workerAt returns the current worker at an address.
   */
  constructor (
    private readonly _clock: Clock, private readonly _store: EmulatedStore,
    private readonly _rackOf: (virtualMachine: string) => string, private readonly _workerAt: (address: string) => EmulatedWorker | undefined
  ) {}

  /** Writes the entry of a worker. */
  register (worker: EmulatedWorker): void {
    this._store.put(TOPIC, worker.id, workerRegistryEntry(worker, this._rackOf(worker.virtualMachine)))
  }

  /** Deletes the entry of a worker. */
  remove (worker: EmulatedWorker): void {
    this._store.put(TOPIC, worker.id, null)
  }

  /**
   * Deletes the entry of a worker unless it is back by then.
   *
   * @param expiresAt epoch milliseconds.
   */
  expire (worker: EmulatedWorker, expiresAt = this._clock.now() + ENTRY_EXPIRY_MILLISECONDS): void {
    this._clock.sleepUntil(expiresAt).then(() => {
      const current = this._workerAt(worker.address)
      if (current?.id !== worker.id || current.isDisconnected) this.remove(worker)
    }).catch(() => {})
  }
}
