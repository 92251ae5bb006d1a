/**
 * Commands that divide the teams' upper limits among entry processes.
 */
import * as z from 'zod'
import { Holder } from './holder.js'
import { Name } from './name.js'

/** A change of the units that a holder has for a team; never zero. */
const GrantChange = z.object({
  team: Name,
  units: z.number().int().refine(units => units !== 0, 'must not be zero')
})

/** Takes or gives back units, or passes them to another holder. */
export const GrantCommand = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('adjust-grants'),
    holder: Holder,
    /** One more than the holder's last sequence, so that a repeated append changes nothing. */
    sequence: z.number().int().min(1),
    /** Positive units are taken as far as the limit allows, negative ones given back. */
    changes: z.array(GrantChange).min(1).max(1_024)
  }),
  z.object({
    kind: z.literal('transfer-grants'),
    holder: Holder,
    sequence: z.number().int().min(1),
    to: Holder,
    changes: z.array(GrantChange).min(1).max(1_024)
  }),
  z.object({
    kind: z.literal('return-grants'),
    /** Dead holder whose units come back. */
    holder: Holder
  })
])
export type GrantCommand = z.infer<typeof GrantCommand>
