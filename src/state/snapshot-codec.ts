/**
 * Encoding of snapshots as log records: chunks, with a hash of the whole snapshot.
 */
import { createHash } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts/Either'
import { FleetSnapshot } from '../schemas/fleet-snapshot.js'
import type { SnapshotChunk } from '../schemas/snapshot-chunk.js'

/** Maximum number of characters of a snapshot in one chunk; keeps a record below the log's size limit. */
const CHUNK_CHARACTERS = 65_536

/** Splits snapshots into chunks and joins them. */
export class SnapshotCodec {
  /** Splits a snapshot into chunks with a common id. */
  split (snapshot: FleetSnapshot, snapshotId: string): SnapshotChunk[] {
    const text = JSON.stringify(snapshot)
    const sha256 = this._hash(text)
    const count = Math.ceil(text.length / CHUNK_CHARACTERS)
    return Array.from({ length: count }, (_, index) => ({
      kind: 'snapshot-chunk' as const,
      snapshotId,
      stateOffset: snapshot.offset,
      index,
      count,
      data: text.slice(index * CHUNK_CHARACTERS, (index + 1) * CHUNK_CHARACTERS),
      sha256
    }))
  }

  /** Joins the chunks of one snapshot; a `Left` gives the reason why they don't form a valid snapshot. */
  join (chunks: readonly SnapshotChunk[]): Either<Error, FleetSnapshot> {
    const [first] = chunks
    if (!first || chunks.length !== first.count) return Left(new Error('snapshot is missing chunks'))
    const text = [...chunks].sort((left, right) => left.index - right.index).map(chunk => chunk.data).join('')
    if (this._hash(text) !== first.sha256) return Left(new Error('snapshot hash does not match'))
    const parsed = FleetSnapshot.safeParse(JSON.parse(text))
    if (!parsed.success) return Left(new Error('snapshot does not match its schema'))
    return Right(parsed.data)
  }

  private _hash (text: string): string {
    return createHash('sha256').update(text).digest('hex')
  }
}
