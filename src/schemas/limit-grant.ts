/**
 * A part of a team's upper limit, held by one entry process.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { Name } from './name.js'

/** Requests that a holder may run at once for a team. */
export const LimitGrant = z.object({
  team: Name,
  holder: Holder,
  units: z.number().int().min(0),
  /** Set when the holder is known dead: the units come back at this moment, null while it lives. */
  returnDeadline: EpochMilliseconds.nullable()
})
export type LimitGrant = z.infer<typeof LimitGrant>
