/**
 * Registry entries of emulated workers.
 */
import type { EmulatedWorker } from './emulated-worker.js'

/** Returns what a worker writes of itself into the registry. */
export function workerRegistryEntry (worker: EmulatedWorker, rack: string): object {
  return {
    service: worker.pool,
    address: worker.address,
    zone: worker.zone,
    version: 'v1',
    slots: 8,
    state: worker.isDraining ? 'draining' : 'ready',
    cold_remaining_ms: 0,
    seq: 1,
    born: worker.startedAt,
    capacity: { cpu: worker.capacity.cpu, mem_mb: worker.capacity.mem_mb },
    labels: ['a', rack],
    clock_ms: worker.clockMilliseconds
  }
}
