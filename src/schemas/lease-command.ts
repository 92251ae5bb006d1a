/**
 * Commands that take, renew and give up leases.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { Name } from './name.js'

/** Takes or renews a lease, or gives it up. */
export const LeaseCommand = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('take-lease'),
    name: Name,
    holder: Holder,
    /** Token of the lease that the author saw, its own or one that lapsed; 0 for none. */
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
