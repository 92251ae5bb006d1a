/**
 * Settings of the advice service for a queue.
 */
import * as z from 'zod'

/** Set for queues whose placement rules are known only to the external advice service. */
export const AdviceSettings = z.object({
  /** Time the service takes for each call, in milliseconds. */
  perCallMilliseconds: z.number().min(0),
  /** Additional time for each worker in the call, in milliseconds. */
  perWorkerMilliseconds: z.number().min(0),
  /** How long a ticket is valid, in milliseconds. */
  ticketValidityMilliseconds: z.number().min(0)
})
export type AdviceSettings = z.infer<typeof AdviceSettings>
