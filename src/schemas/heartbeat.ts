/**
 * The message in which a peer sends its status and requests those of other members.
 */
import * as z from 'zod'
import { MemberStatus } from './member-status.js'

/** A peer's own status and a request for newer statuses of other members. */
export const Heartbeat = z.object({
  /** The sender's own status. */
  entry: MemberStatus,
  /** Members whose statuses at the sender are outdated, each with the newest sequence that it has; -1 for none. */
  wanted: z.array(z.tuple([MemberStatus.shape.member, z.number().int().min(-1)])).max(4_096)
})
export type Heartbeat = z.infer<typeof Heartbeat>
