/**
 * The response to a heartbeat.
 */
import * as z from 'zod'
import { MemberEntry } from './member-entry.js'

/** The responding peer's own status first, then newer statuses of the requested members. */
export const HeartbeatAnswer = z.object({ entries: z.array(MemberEntry).min(1).max(4_096) })
export type HeartbeatAnswer = z.infer<typeof HeartbeatAnswer>
