/**
 * A piece of a snapshot in the log.
 */
import * as z from 'zod'

/** One of `count` pieces; the whole is taken only if its hash holds. */
export const SnapshotChunk = z.object({
  kind: z.literal('snapshot-chunk'),
  /** Identity of the snapshot, the same for its pieces. */
  snapshotId: z.string().min(1).max(64),
  /** Offset up to which the snapshot's state has folded. */
  stateOffset: z.number().int().min(0),
  index: z.number().int().min(0),
  count: z.number().int().min(1).max(65_536),
  /** Part of the serialized state. */
  data: z.string(),
  /** SHA-256 of the whole serialized state, in hexadecimal. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/)
})
export type SnapshotChunk = z.infer<typeof SnapshotChunk>
