/**
 * Settings of the advice service for a queue.
 */
import * as z from 'zod'

/** Set for queues whose placement rules are known only to the external advice service. */
export const AdviceRule = z.object({
  /** Time the service takes for each call, in milliseconds. */
  decideMilliseconds: z.number().min(0),
  /** Additional time for each worker in the call, in milliseconds. */
  perWorkerMilliseconds: z.number().min(0),
  /** How long a ticket is valid, in milliseconds. */
  validMilliseconds: z.number().min(0)
})
export type AdviceRule = z.infer<typeof AdviceRule>
