/**
 * The holder of a grant or a lease: one incarnation of a process.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** A member's name and its incarnation. */
export const Holder = z.object({
  member: Name,
  incarnation: z.string().min(1).max(64)
})
export type Holder = z.infer<typeof Holder>
