/**
 * A record of the platform's log.
 */
import * as z from 'zod'
import { Command } from './command.js'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { SnapshotChunk } from './snapshot-chunk.js'

/** A command or a piece of a snapshot, with its identity and author. */
export const LogRecord = z.object({
  /** Identity; a record that is appended twice is decided once. */
  id: z.string().min(1).max(128),
  author: Holder,
  /** When it was written, by its author's clock. */
  time: EpochMilliseconds,
  body: z.discriminatedUnion('kind', [Command, SnapshotChunk])
})
export type LogRecord = z.infer<typeof LogRecord>
