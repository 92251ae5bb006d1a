/**
 * Commands that acquire, renew and release leases.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { Name } from './name.js'

/** Acquires, renews or releases a lease. */
export const LeaseCommand = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('take-lease'),
    name: Name,
    holder: Holder,
    /** Token of the lease known to the author, which is its own or an expired one; 0 for none. */
    expectedToken: z.number().int().min(0),
    deadline: EpochMilliseconds
  }),
  z.object({
    kind: z.literal('release-lease'),
    name: Name,
    token: z.number().int()
  })
])
export type LeaseCommand = z.infer<typeof LeaseCommand>
