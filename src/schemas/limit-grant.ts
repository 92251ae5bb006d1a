/**
 * The units of a team's upper limit that one entry process holds.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { Name } from './name.js'

/** Number of requests that a holder may run at once for a team. */
export const LimitGrant = z.object({
  team: Name,
  holder: Holder,
  units: z.number().int().min(0),
  /** When the units of a holder that has ended become available again; null while the holder is a member. */
  returnDeadline: EpochMilliseconds.nullable()
})
export type LimitGrant = z.infer<typeof LimitGrant>
