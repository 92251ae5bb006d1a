/**
 * The status of a member, sent in heartbeats and passed on by its peers.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Member } from './member.js'
import { Name } from './name.js'

/** Demand of a team for a pool at one entry process. */
const TeamDemand = z.object({
  pool: Name,
  /** Team, or null for requests to queues that are open to all. */
  team: Name.nullable(),
  /** Number of running requests. */
  running: z.number().int().min(0),
  /** Number of waiting requests. */
  waiting: z.number().int().min(0)
})

/** Use of a team's grants at one entry process. */
const GrantUse = z.object({
  team: Name,
  /** Units held and not in use. */
  idle: z.number().int().min(0),
  /** Units that waiting requests could use. */
  wanted: z.number().int().min(0)
})

/**
 * The status that a member reports of itself; the one with the highest sequence is current.
 * It omits what the log records of the member, and empty arrays, because statuses make up
 * nearly all of the traffic between peers.
 */
export const MemberStatus = z.object({
  member: Name,
  incarnation: Member.shape.incarnation,
  /** Increases with every status of an incarnation. */
  sequence: z.number().int().min(0),
  /** Offset of the last record folded into the member's state. */
  offset: z.number().int().min(0),
  /** Latest time at which the member's view was known to be up to date. */
  freshAt: EpochMilliseconds,
  /** Whether it reaches the platform's log directly. */
  reachesLog: z.boolean(),
  demands: z.array(TeamDemand).max(4_096).optional(),
  grantUses: z.array(GrantUse).max(1_024).optional(),
  /** VMs not in service on which requests of this member are still running. */
  busyVirtualMachines: z.array(Name).max(4_096).optional(),
  /** VMs that this member suspects to be unreachable. */
  suspectedVirtualMachines: z.array(Name).max(8_192).optional()
})
export type MemberStatus = z.infer<typeof MemberStatus>
