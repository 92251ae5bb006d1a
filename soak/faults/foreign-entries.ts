/**
 * Fault: another writer leaves entries in the worker registry.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import { workerRegistryEntry } from '../../stand-ins/emulator/worker-registry-entry.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Changes that make a worker's entry one of another writer. */
const CHANGES: readonly object[] = [
  { service: 'inventory', version: undefined, slots: undefined, seq: undefined },
  { capacity: { cpu: 1e300, mem_mb: 1 } },
  { address: '10.0.0.1:99999' },
  { state: 'asleep' },
  { labels: Array.from({ length: 3_000 }, (_, index) => index) },
  // A complete entry under another ID.
  {}
]

/** Writes entries with the address of a worker under another ID, and deletes them at the end. */
export class ForeignEntries extends SoakFault {
  override readonly name = 'foreign registry entries'

  override async begin ({ workers, emulator }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const worker = this.pick(workers, random)
    const ids = CHANGES.map((_, index) => `foreign-${worker.id}-${index}`)
    ids.forEach((id, index) => emulator.store.put('keyed.servers', id, { ...workerRegistryEntry(worker, 'r0'), born: Date.now(), ...CHANGES[index] }))
    return () => { for (const id of ids) emulator.store.put('keyed.servers', id, null) }
  }
}
