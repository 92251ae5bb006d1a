/**
 * The answer to a heartbeat.
 */
import * as z from 'zod'
import { MemberStatus } from './member-status.js'

/** The answering peer's own account first, then newer accounts of members that were wanted. */
export const HeartbeatResponse = z.object({ entries: z.array(MemberStatus).min(1).max(4_096) })
export type HeartbeatResponse = z.infer<typeof HeartbeatResponse>
