/**
 * Benchmark of the state's memory, snapshot size and processing times against the fleet size.
 */
import { FleetSnapshot } from '../src/schemas/fleet-snapshot.js'
import { LogRecord } from '../src/schemas/log-record.js'
import { Pool } from '../src/schemas/pool.js'
import { FleetState } from '../src/state/fleet-state.js'
import { RecordFold } from '../src/state/record-fold.js'
import { SnapshotCodec } from '../src/state/snapshot-codec.js'
import { Benchmark } from './benchmark.js'
import type { ResultRow } from './result-row.js'

/** Fleet sizes in VMs: today's, twenty times that, and the target size. */
const SIZES = [35, 700, 6_900]

/** Numbers of pools and teams at the target size. */
const POOLS = 32
const TEAMS = 87

/** Number of records, more than the number of decisions that the state retains. */
const RECORDS = 8_000

/** Folds a whole configuration of each size, and writes and loads its snapshot. */
export class StateSizeBenchmark extends Benchmark {
  override readonly name = 'state-size'
  override readonly summary = 'memory, snapshot size and times of the state against the number of VMs'

  override async run (): Promise<ResultRow[]> {
    return SIZES.flatMap(size => this._measure(size))
  }

  private _measure (size: number): ResultRow[] {
    const heapUsedBefore = this._heapUsed()
    const { state, recordMicroseconds } = this._foldRecords(size)
    const heapBytes = this._heapUsed() - heapUsedBefore

    const codec = new SnapshotCodec()
    const snapshotStartedAt = performance.now()
    const chunks = codec.split(state.toSnapshot(), 'snapshot')
    const snapshotMilliseconds = performance.now() - snapshotStartedAt
    const loadStartedAt = performance.now()
    const loaded = FleetState.fromSnapshot(codec.join(chunks).extract() as FleetSnapshot)
    const loadMilliseconds = performance.now() - loadStartedAt
    if (loaded.virtualMachines.size !== size) throw new Error('the loaded snapshot lacks VMs')
    const snapshotBytes = chunks.reduce((sum, chunk) => sum + chunk.data.length, 0)
    const row = (figure: string, value: number, target = ''): ResultRow => ({ figure: `${size} VMs: ${figure}`, value, naive: null, target })
    return [
      row('heap of the state (MB)', heapBytes / 1e6, '64 MB a node'),
      row('snapshot (KB)', snapshotBytes / 1e3),
      row('snapshot written in (ms)', snapshotMilliseconds),
      row('snapshot loaded in (ms)', loadMilliseconds),
      row('one record folded in (µs)', recordMicroseconds)
    ]
  }

  private _foldRecords (size: number): { state: FleetState, recordMicroseconds: number } {
    const records = this._createRecords(size).map(record => JSON.stringify(record))
    const startedAt = performance.now()
    const fold = new RecordFold(new FleetState())
    records.forEach((text, index) => fold.fold(index + 1, LogRecord.parse(JSON.parse(text))))
    return { state: fold.state, recordMicroseconds: (performance.now() - startedAt) * 1e3 / records.length }
  }

  private _createRecords (size: number): LogRecord[] {
    const author = { member: 'operator', incarnation: '1' }
    const bodies: LogRecord['body'][] = [
      ...Array.from({ length: POOLS }, (_, index) => ({ kind: 'put-pool' as const, value: Pool.parse({ name: `pool-${index}` }), expectedVersion: 0 })),
      ...Array.from({ length: TEAMS }, (_, index) => ({ kind: 'put-team' as const, value: { name: `team-${index}`, share: 1, upperLimit: 100 }, expectedVersion: 0 })),
      ...Array.from({ length: size }, (_, index) => ({
        kind: 'put-virtual-machine' as const,
        value: {
          id: `vm-${index}`,
          pool: `pool-${index % POOLS}`,
          availabilityZone: `zone-${index % 7}`,
          rack: `rack-${Math.floor(index / 4)}`,
          address: { host: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`, port: 8_080 }
        },
        expectedVersion: 0
      }))
    ]
    // These records fill the state up to its maximum number of retained decisions.
    for (let index = bodies.length; index < RECORDS; index++) {
      bodies.push({ kind: 'withdraw-key', keyId: `key-${index}` })
    }
    return bodies.map((body, index) => ({ id: `2f0c4b1e-0000-4000-8000-${String(index).padStart(12, '0')}`, author, time: 1_700_000_000_000 + index, body }))
  }

  /** Heap in use after a garbage collection, in bytes; needs `--expose-gc`, which the benchmark script sets. */
  private _heapUsed (): number {
    globalThis.gc?.()
    return process.memoryUsage().heapUsed
  }
}
