/**
 * The answer to a heartbeat.
 */
import * as z from 'zod'
import { MemberEntry } from './member-entry.js'

/** The answering peer's own account first, then newer accounts of members that were wanted. */
export const HeartbeatAnswer = z.object({ entries: z.array(MemberEntry).min(1).max(4_096) })
export type HeartbeatAnswer = z.infer<typeof HeartbeatAnswer>
