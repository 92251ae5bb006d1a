/**
 * The serializable form of the complete folded state.
 */
import * as z from 'zod'
import { AccessKey } from './access-key.js'
import { Claim } from './claim.js'
import { CutOffPolicy } from './cut-off-policy.js'
import { Decision } from './decision.js'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { FleetTask } from './fleet-task.js'
import { Lease } from './lease.js'
import { LimitGrant } from './limit-grant.js'
import { Member } from './member.js'
import { Name } from './name.js'
import { Pool } from './pool.js'
import { Preset } from './preset.js'
import { Queue } from './queue.js'
import { Team } from './team.js'
import { Versioned } from './versioned.js'
import { VirtualMachineState } from './virtual-machine-state.js'
import { Wave } from './wave.js'
import { WorkerState } from './worker-state.js'

/** The state at an offset. Field order is the order in which it is serialized. */
export const FleetSnapshot = z.object({
  /** Offset of the last folded record; 0 for none. Offsets start at 1. */
  offset: z.number().int().min(0),
  pools: z.array(Versioned(Pool)),
  virtualMachines: z.array(VirtualMachineState),
  teams: z.array(Versioned(Team)),
  queues: z.array(Versioned(Queue)),
  presets: z.array(Versioned(Preset)),
  keys: z.array(Versioned(AccessKey.extend({ isWithdrawn: z.boolean() }))),
  availabilityZones: z.array(z.object({ name: Name, isOut: z.boolean(), version: z.number().int() })),
  presetInForce: z.object({ name: Name, version: z.number().int() }).nullable(),
  cutOffPolicy: Versioned(CutOffPolicy),
  members: z.array(Member.extend({ version: z.number().int(), grantSequence: z.number().int() })),
  grants: z.array(LimitGrant),
  leases: z.array(Lease),
  claims: z.array(Claim),
  waves: z.array(Wave),
  workers: z.array(WorkerState),
  tasks: z.array(FleetTask),
  decisions: z.array(Decision),
  /** Latest author time among the folded records; claims expire by it. */
  latestTime: EpochMilliseconds,
  /** Longest timeout that any queue has ever allowed, in milliseconds. */
  longestTimeoutMilliseconds: z.number().int().min(0),
  /** Offset of the last record that changed the operators' configuration. */
  configurationOffset: z.number().int().min(0)
})
export type FleetSnapshot = z.infer<typeof FleetSnapshot>
