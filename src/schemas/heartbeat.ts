/**
 * The message that peers exchange.
 */
import * as z from 'zod'
import { MemberEntry } from './member-entry.js'

/** Accounts that are new to the receiver, the sender's own first. */
export const Heartbeat = z.object({
  /** Name of the sending member. */
  from: MemberEntry.shape.member.shape.id,
  /** Offset that the sender's state has folded. */
  offset: z.number().int().min(0),
  entries: z.array(MemberEntry).max(4_096)
})
export type Heartbeat = z.infer<typeof Heartbeat>
