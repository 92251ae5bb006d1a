/**
 * Leases: the exclusive right of a control process to one kind of work until a deadline.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { Name } from './name.js'

/** A lease with its fencing token. */
export const Lease = z.object({
  name: Name,
  holder: Holder,
  /** Offset of the record by which the lease was acquired; commands under a smaller token are refused. */
  token: z.number().int(),
  deadline: EpochMilliseconds
})
export type Lease = z.infer<typeof Lease>
