/**
 * The messages in which peers tell of themselves and of others.
 */
import * as z from 'zod'
import { MemberStatus } from './member-status.js'

/** A peer's own account, and what it wants to hear of others. */
export const Heartbeat = z.object({
  /** The sender's own account. */
  entry: MemberStatus,
  /** Members of whom the sender has heard nothing for a while, with the newest sequence that it has; -1 for none. */
  wanted: z.array(z.tuple([MemberStatus.shape.member, z.number().int().min(-1)])).max(4_096)
})
export type Heartbeat = z.infer<typeof Heartbeat>
