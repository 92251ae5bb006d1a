/**
 * The request to append records for a peer that can't reach the log.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { LogRecord } from './log-record.js'

/** Records to append directly or to relay to another peer. */
export const RelayedAppend = z.object({
  records: z.array(LogRecord).min(1).max(1_024),
  deadline: EpochMilliseconds,
  /** How many more times the request may be relayed. */
  remainingHops: z.number().int().min(0).max(4)
})
export type RelayedAppend = z.infer<typeof RelayedAppend>
