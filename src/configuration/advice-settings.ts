/**
 * How a queue's steps are matched with workers by an outside service.
 */
import * as z from 'zod'

/** Present on queues whose policy only the advice service knows. */
export const AdviceSettings = z.object({
  /** Time that the service takes for each call, in milliseconds. */
  perCallMilliseconds: z.number().min(0),
  /** Further time for each worker asked about, in milliseconds. */
  perWorkerMilliseconds: z.number().min(0),
  /** How long a ticket is good for, in milliseconds. */
  ticketValidityMilliseconds: z.number().min(0)
})
export type AdviceSettings = z.infer<typeof AdviceSettings>
