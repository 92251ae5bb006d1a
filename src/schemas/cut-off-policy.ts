/**
 * What an entry VM may go on doing while it cannot know of newer configuration.
 */
import * as z from 'zod'

/** Policy for entry VMs whose view is stale; the defaults are argued in docs/DESIGN.md. */
export const CutOffPolicy = z.object({
  /** Age of the view, in milliseconds, after which an entry VM counts as cut off. */
  staleAfterMilliseconds: z.number().int().min(1_000).max(600_000).default(5_000),
  /** Whether keys known before the cut still open queues. */
  acceptKnownKeys: z.boolean().default(true),
  /** Whether work still starts on endpoints of the entry VM's own availability zone. */
  dispatchInOwnZone: z.boolean().default(true),
  /** Whether work still starts on endpoints of other availability zones. */
  dispatchInOtherZones: z.boolean().default(false)
}).strict()
export type CutOffPolicy = z.infer<typeof CutOffPolicy>
