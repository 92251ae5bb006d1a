/**
 * Records of the platform's log.
 */
import * as z from 'zod'
import { Command } from './command.js'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { SnapshotChunk } from './snapshot-chunk.js'

/** A command or a snapshot chunk with its ID and author. */
export const LogRecord = z.object({
  /** Unique ID, by which a record that was appended twice is decided once. */
  id: z.string().min(1).max(128),
  author: Holder,
  /** Time of writing by the author's clock. */
  time: EpochMilliseconds,
  body: z.discriminatedUnion('kind', [Command, SnapshotChunk])
})
export type LogRecord = z.infer<typeof LogRecord>
