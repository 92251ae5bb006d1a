/**
 * What an entry VM may still do while it can't receive newer configuration.
 */
import * as z from 'zod'

/** Policy for entry VMs whose view is stale; docs/DESIGN.md gives the reasons for the defaults. */
export const CutOffPolicy = z.object({
  /** Age of the view, in milliseconds, after which an entry VM counts as cut off. */
  staleAfterMilliseconds: z.number().int().min(1_000).max(600_000).default(5_000),
  /** Whether keys known before the VM was cut off are still accepted. */
  acceptKnownKeys: z.boolean().default(true),
  /** Whether requests are still dispatched to endpoints in the entry VM's own availability zone. */
  dispatchInOwnZone: z.boolean().default(true),
  /** Whether requests are still dispatched to endpoints in other availability zones. */
  dispatchInOtherZones: z.boolean().default(false)
}).strict()
export type CutOffPolicy = z.infer<typeof CutOffPolicy>
