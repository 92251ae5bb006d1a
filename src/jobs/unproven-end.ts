/**
 * The end of a worker that may have crashed, until it is proved.
 */
import * as z from 'zod'

/** A worker whose lease has expired while it refused connections: that another incarnation takes its place proves that it has ended. */
export const UnprovenEnd = z.object({
  worker: z.string(),
  address: z.string(),
  incarnation: z.number(),
  /** Fleet time from which on another incarnation proves nothing any more. */
  forgetAt: z.number()
})
export type UnprovenEnd = z.infer<typeof UnprovenEnd>
