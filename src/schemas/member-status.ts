/**
 * What a member tells of itself in heartbeats, passed on by its peers.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Member } from './member.js'
import { Name } from './name.js'

/** Demand of one team for one pool at one entry process. */
const TeamDemand = z.object({
  pool: Name,
  /** Team, or null for work on queues open to all. */
  team: Name.nullable(),
  /** Requests running. */
  running: z.number().int().min(0),
  /** Requests waiting. */
  waiting: z.number().int().min(0)
})

/** Use of a team's grants at one entry process. */
const GrantUse = z.object({
  team: Name,
  /** Units held without work. */
  idle: z.number().int().min(0),
  /** Units that waiting work could use. */
  wanted: z.number().int().min(0)
})

/**
 * One member's own account of itself; the newest by sequence counts. What the log knows of
 * the member isn't repeated, and empty parts aren't sent, because accounts make up nearly
 * all of what peers send.
 */
export const MemberStatus = z.object({
  member: Name,
  incarnation: Member.shape.incarnation,
  /** Grows with every account of one incarnation. */
  sequence: z.number().int().min(0),
  /** Offset that the member's state has folded. */
  offset: z.number().int().min(0),
  /** Latest moment at which the member knew its view to be the newest. */
  freshAt: EpochMilliseconds,
  /** Whether it reaches the platform's log by itself. */
  reachesLog: z.boolean(),
  /** Whether it is stopping. */
  isStopping: z.boolean().optional(),
  demands: z.array(TeamDemand).max(4_096).optional(),
  grantUses: z.array(GrantUse).max(1_024).optional(),
  /** VMs not in service on which it still has requests running. */
  busyVirtualMachines: z.array(Name).max(4_096).optional(),
  /** VMs that don't answer it. */
  suspectedVirtualMachines: z.array(Name).max(8_192).optional()
})
export type MemberStatus = z.infer<typeof MemberStatus>
