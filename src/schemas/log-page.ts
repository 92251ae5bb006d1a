/**
 * The response of the platform's log to a read.
 */
import * as z from 'zod'

/** Consecutive records from the requested offset on. */
export const LogPage = z.object({
  /** Oldest offset that the log retains. */
  earliestOffset: z.number().int().min(1),
  /** Offset that the next append will get. */
  nextOffset: z.number().int().min(1),
  records: z.array(z.object({ offset: z.number().int().min(1), record: z.unknown() }))
})
export type LogPage = z.infer<typeof LogPage>
