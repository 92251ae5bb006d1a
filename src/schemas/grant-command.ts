/**
 * Commands that distribute the teams' upper limits among entry processes.
 */
import * as z from 'zod'
import { Holder } from './holder.js'
import { Name } from './name.js'

/** A nonzero change in the number of units that a holder has for a team. */
const GrantChange = z.object({
  team: Name,
  units: z.number().int().refine(units => units !== 0, 'must not be zero')
})

/** Acquires or releases units, transfers them to another holder, or returns those of a holder that has ended. */
export const GrantCommand = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('adjust-grants'),
    holder: Holder,
    /** One more than the holder's last sequence, so that a repeated append has no effect. */
    sequence: z.number().int().min(1),
    /** Positive units are granted as far as the limit allows, negative ones are released. */
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
    /** Ended holder whose units become available again. */
    holder: Holder
  })
])
export type GrantCommand = z.infer<typeof GrantCommand>
