/**
 * Finds the newest whole snapshot among records read from the log.
 */
import type { FleetSnapshot } from '../schemas/fleet-snapshot.js'
import type { LogPage } from '../schemas/log-page.js'
import { LogRecord } from '../schemas/log-record.js'
import type { SnapshotChunk } from '../schemas/snapshot-chunk.js'
import type { SnapshotCodec } from './snapshot-codec.js'

/** Snapshots under way at once; a writer that died half way leaves one behind. */
const MAXIMUM_OPEN_SNAPSHOTS = 4

/** Gathers pieces by snapshot, since two writers' pieces may be interleaved. */
export class SnapshotCollector {
  private readonly _open = new Map<string, SnapshotChunk[]>()
  private _newest: FleetSnapshot | null = null

  constructor (private readonly _codec: SnapshotCodec, private readonly _onRejected: () => void) {}

  /** The newest whole snapshot so far, or null. */
  get newest (): FleetSnapshot | null {
    return this._newest
  }

  /** Takes the pieces among some records. */
  add (records: LogPage['records']): void {
    for (const { record } of records) {
      const parsed = LogRecord.safeParse(record)
      if (parsed.success && parsed.data.body.kind === 'snapshot-chunk') this._addChunk(parsed.data.body)
    }
  }

  private _addChunk (chunk: SnapshotChunk): void {
    const chunks = this._open.get(chunk.snapshotId) ?? []
    // A repeated append writes a piece twice.
    if (chunks.some(present => present.index === chunk.index)) return
    chunks.push(chunk)
    this._open.set(chunk.snapshotId, chunks)
    if (chunks.length === chunk.count) this._finish(chunk.snapshotId, chunks)
    if (this._open.size <= MAXIMUM_OPEN_SNAPSHOTS) return
    const [oldest] = this._open.keys()
    if (oldest !== undefined) this._open.delete(oldest)
  }

  private _finish (snapshotId: string, chunks: SnapshotChunk[]): void {
    this._open.delete(snapshotId)
    this._codec.join(chunks).ifLeft(this._onRejected).ifRight(snapshot => {
      if (!this._newest || snapshot.offset > this._newest.offset) this._newest = snapshot
    })
  }
}
