/**
 * Chunks of snapshots in the log.
 */
import * as z from 'zod'

/** One of `count` chunks; the snapshot is loaded only if its hash matches. */
export const SnapshotChunk = z.object({
  kind: z.literal('snapshot-chunk'),
  /** ID of the snapshot, the same in all of its chunks. */
  snapshotId: z.string().min(1).max(64),
  /** Offset of the last record folded into the snapshot's state. */
  stateOffset: z.number().int().min(0),
  index: z.number().int().min(0),
  count: z.number().int().min(1).max(65_536),
  /** Part of the serialized state. */
  data: z.string(),
  /** SHA-256 of the complete serialized state, in hexadecimal. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/)
})
export type SnapshotChunk = z.infer<typeof SnapshotChunk>
