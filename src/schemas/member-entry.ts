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

/** One member's own account of itself; the newest by incarnation and sequence counts. */
export const MemberEntry = z.object({
  member: Member,
  /** Grows with every account of one incarnation. */
  sequence: z.number().int().min(0),
  /** Offset that the member's state has folded. */
  offset: z.number().int().min(0),
  /** Latest moment at which the member knew its view to be the newest. */
  freshAt: EpochMilliseconds,
  /** Whether it reaches the platform's log by itself. */
  reachesLog: z.boolean(),
  /** Whether it is stopping. */
  isStopping: z.boolean(),
  demands: z.array(TeamDemand).max(4_096),
  grantUses: z.array(GrantUse).max(1_024),
  /** VMs not in service on which it still has requests running. */
  busyVirtualMachines: z.array(Name).max(4_096),
  /** VMs that don't answer it. */
  suspectedVirtualMachines: z.array(Name).max(8_192)
})
export type MemberEntry = z.infer<typeof MemberEntry>
