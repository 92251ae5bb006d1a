/**
 * Search for the newest complete snapshot in records read from the log.
 */
import type { FleetSnapshot } from '../schemas/fleet-snapshot.js'
import type { LogPage } from '../schemas/log-page.js'
import { LogRecord } from '../schemas/log-record.js'
import type { SnapshotChunk } from '../schemas/snapshot-chunk.js'
import type { SnapshotCodec } from './snapshot-codec.js'

/** Maximum number of incomplete snapshots held at once; a writer that fails halfway leaves an incomplete one in the log. */
const MAXIMUM_INCOMPLETE_SNAPSHOTS = 4

/** Collects chunks by snapshot id, because the chunks of two writers may be interleaved. */
export class SnapshotCollector {
  private readonly _incomplete = new Map<string, SnapshotChunk[]>()
  private _newest: FleetSnapshot | null = null

  constructor (private readonly _codec: SnapshotCodec, private readonly _onRejected: () => void) {}

  /** The newest complete snapshot so far, or null. */
  get newest (): FleetSnapshot | null {
    return this._newest
  }

  /** Adds the snapshot chunks among the records. */
  add (records: LogPage['records']): void {
    for (const { record } of records) {
      const parsed = LogRecord.safeParse(record)
      if (parsed.success && parsed.data.body.kind === 'snapshot-chunk') this._addChunk(parsed.data.body)
    }
  }

  private _addChunk (chunk: SnapshotChunk): void {
    const chunks = this._incomplete.get(chunk.snapshotId) ?? []
    // A repeated append writes a chunk twice.
    if (chunks.some(existing => existing.index === chunk.index)) return
    chunks.push(chunk)
    this._incomplete.set(chunk.snapshotId, chunks)
    if (chunks.length === chunk.count) this._complete(chunk.snapshotId, chunks)
    if (this._incomplete.size <= MAXIMUM_INCOMPLETE_SNAPSHOTS) return
    const [oldest] = this._incomplete.keys()
    if (oldest !== undefined) this._incomplete.delete(oldest)
  }

  private _complete (snapshotId: string, chunks: SnapshotChunk[]): void {
    this._incomplete.delete(snapshotId)
    this._codec.join(chunks).ifLeft(this._onRejected).ifRight(snapshot => {
      if (!this._newest || snapshot.offset > this._newest.offset) this._newest = snapshot
    })
  }
}
