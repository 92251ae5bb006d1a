/**
 * Snapshots as records of the log: cut into pieces with a hash over the whole.
 */
import { createHash } from 'node:crypto'
import { Left, Right, type Either } from 'purify-ts/Either'
import { FleetSnapshot } from '../schemas/fleet-snapshot.js'
import type { SnapshotChunk } from '../schemas/snapshot-chunk.js'

/** Characters in one piece, so that a record stays below the log's limit. */
const CHUNK_CHARACTERS = 65_536

/** Cuts and joins snapshots. */
export class SnapshotCodec {
  /** Cuts a snapshot into pieces under one identity. */
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

  /** Joins the pieces of one snapshot; a `Left` says why they don't make a whole one. */
  join (chunks: readonly SnapshotChunk[]): Either<Error, FleetSnapshot> {
    const [first] = chunks
    if (!first || chunks.length !== first.count) return Left(new Error('snapshot lacks pieces'))
    const text = [...chunks].sort((left, right) => left.index - right.index).map(chunk => chunk.data).join('')
    if (this._hash(text) !== first.sha256) return Left(new Error('snapshot doesn\'t match its hash'))
    const parsed = FleetSnapshot.safeParse(JSON.parse(text))
    if (!parsed.success) return Left(new Error('snapshot doesn\'t fit its schema'))
    return Right(parsed.data)
  }

  private _hash (text: string): string {
    return createHash('sha256').update(text).digest('hex')
  }
}
