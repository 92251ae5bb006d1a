/**
 * What the platform's log answers to a read.
 */
import * as z from 'zod'

/** Records from an offset on, in order and without gaps. */
export const LogPage = z.object({
  /** Oldest offset that the log still keeps. */
  earliestOffset: z.number().int().min(1),
  /** Offset that the next append will get. */
  nextOffset: z.number().int().min(1),
  records: z.array(z.object({ offset: z.number().int().min(1), record: z.unknown() }))
})
export type LogPage = z.infer<typeof LogPage>
