/**
 * The response to a heartbeat.
 */
import * as z from 'zod'
import { MemberStatus } from './member-status.js'

/** The responding peer's own status first, then newer statuses of the requested members. */
export const HeartbeatResponse = z.object({ entries: z.array(MemberStatus).min(1).max(4_096) })
export type HeartbeatResponse = z.infer<typeof HeartbeatResponse>
