/**
 * The evidence that a command's author holds a lease.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** Name and fencing token of the lease under which a command was written. */
export const LeaseProof = z.object({
  lease: Name,
  token: z.number().int()
})
export type LeaseProof = z.infer<typeof LeaseProof>
