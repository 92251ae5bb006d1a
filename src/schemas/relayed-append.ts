/**
 * An append passed on for a peer that cannot reach the log.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { LogRecord } from './log-record.js'

/** Records to append by whoever reaches the log. */
export const RelayedAppend = z.object({
  records: z.array(LogRecord).min(1).max(1_024),
  deadline: EpochMilliseconds,
  /** How often it may be passed on further. */
  remainingHops: z.number().int().min(0).max(4)
})
export type RelayedAppend = z.infer<typeof RelayedAppend>
