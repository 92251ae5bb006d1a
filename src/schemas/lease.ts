/**
 * A lease: the right of one control process to one kind of work until a deadline.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Holder } from './holder.js'
import { Name } from './name.js'

/** A lease with its fencing token. */
export const Lease = z.object({
  name: Name,
  holder: Holder,
  /** Offset of the record that took the lease; larger tokens fence off smaller ones. */
  token: z.number().int(),
  deadline: EpochMilliseconds
})
export type Lease = z.infer<typeof Lease>
