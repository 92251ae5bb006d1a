/**
 * State of the fleet, which every process derives from the records of the log.
 */
import type { AccessKey } from '../schemas/access-key.js'
import type { Claim } from '../schemas/claim.js'
import { CutOffPolicy } from '../schemas/cut-off-policy.js'
import type { Decision } from '../schemas/decision.js'
import type { FleetSnapshot } from '../schemas/fleet-snapshot.js'
import type { FleetTask } from '../schemas/fleet-task.js'
import type { Holder } from '../schemas/holder.js'
import type { Lease } from '../schemas/lease.js'
import type { LimitGrant } from '../schemas/limit-grant.js'
import type { Pool } from '../schemas/pool.js'
import type { Preset } from '../schemas/preset.js'
import type { Queue } from '../schemas/queue.js'
import type { Team } from '../schemas/team.js'
import type { Versioned } from '../schemas/versioned.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { Wave } from '../schemas/wave.js'
import type { WorkerState } from '../schemas/worker-state.js'

/**
 * Plain data, with the queries that the command handlers need.
 *
 * Only `RecordFold` and the command handlers write to it; all other code reads. Collections
 * are maps rather than objects, so that a name chosen by an operator can't collide with a
 * property of `Object.prototype`.
 */
export class FleetState {
  /** Offset of the last applied record; 0 for none. */
  offset = 0
  /** Time of the state in epoch milliseconds: the latest author time applied, advanced by at most a fixed step per record. */
  latestTime = 0
  /** Longest timeout that any queue has ever allowed, in milliseconds; the requests of an ended holder finish within it. */
  longestTimeoutMilliseconds = 0
  /** Offset of the last record that changed configuration, VMs, keys, waves, availability zones or the preset in force. */
  configurationOffset = 0
  readonly pools = new Map<string, Versioned<Pool>>()
  readonly virtualMachines = new Map<string, VirtualMachineState>()
  readonly teams = new Map<string, Versioned<Team>>()
  readonly queues = new Map<string, Versioned<Queue>>()
  readonly presets = new Map<string, Versioned<Preset>>()
  readonly keys = new Map<string, Versioned<AccessKey & { isWithdrawn: boolean }>>()
  readonly availabilityZones = new Map<string, FleetSnapshot['availabilityZones'][number]>()
  presetInForce: FleetSnapshot['presetInForce'] = null
  cutOffPolicy: Versioned<CutOffPolicy> = { value: CutOffPolicy.parse({}), version: 0 }
  readonly members = new Map<string, FleetSnapshot['members'][number]>()
  /** Grants by team, then by holder. */
  readonly grants = new Map<string, Map<string, LimitGrant>>()
  readonly leases = new Map<string, Lease>()
  /** Claims by key, in the order of their creation. */
  readonly claims = new Map<string, Claim>()
  readonly waves = new Map<string, Wave>()
  readonly workers = new Map<string, WorkerState>()
  /** Tasks by id, in the order of their submission. */
  readonly tasks = new Map<string, FleetTask>()
  /** Running tasks by team, derived from `tasks`. */
  readonly runningTasks = new Map<string, number>()
  /** Decisions on operators' changes by id, oldest first. */
  readonly decisions = new Map<string, Decision>()

  /** Restores a state from the result of `toSnapshot`. */
  static fromSnapshot (snapshot: FleetSnapshot): FleetState {
    const state = new FleetState()
    state.offset = snapshot.offset
    state.latestTime = snapshot.latestTime
    state.longestTimeoutMilliseconds = snapshot.longestTimeoutMilliseconds
    state.configurationOffset = snapshot.configurationOffset
    for (const pool of snapshot.pools) state.pools.set(pool.value.name, pool)
    for (const virtualMachine of snapshot.virtualMachines) state.virtualMachines.set(virtualMachine.value.id, virtualMachine)
    for (const team of snapshot.teams) state.teams.set(team.value.name, team)
    for (const queue of snapshot.queues) state.queues.set(queue.value.name, queue)
    for (const preset of snapshot.presets) state.presets.set(preset.value.name, preset)
    for (const key of snapshot.keys) state.keys.set(key.value.id, key)
    for (const zone of snapshot.availabilityZones) state.availabilityZones.set(zone.name, zone)
    state.presetInForce = snapshot.presetInForce
    state.cutOffPolicy = snapshot.cutOffPolicy
    for (const member of snapshot.members) state.members.set(member.id, member)
    for (const grant of snapshot.grants) state.getOrCreateGrants(grant.team).set(FleetState.holderKey(grant.holder), grant)
    for (const lease of snapshot.leases) state.leases.set(lease.name, lease)
    for (const claim of snapshot.claims) state.claims.set(claim.key, claim)
    for (const wave of snapshot.waves) state.waves.set(wave.name, wave)
    for (const worker of snapshot.workers) state.workers.set(worker.value.id, worker)
    for (const task of snapshot.tasks) {
      state.tasks.set(task.id, task)
      if (task.phase === 'running') state.adjustRunningTasks(task.team, 1)
    }
    for (const decision of snapshot.decisions) state.decisions.set(decision.id, decision)
    return state
  }

  /** Key of a holder in maps. It is unique, because names contain no slash. */
  static holderKey (holder: Holder): string {
    return `${holder.member}/${holder.incarnation}`
  }

  /** Returns the state in serializable form; equal states give equal snapshots. */
  toSnapshot (): FleetSnapshot {
    return {
      offset: this.offset,
      latestTime: this.latestTime,
      longestTimeoutMilliseconds: this.longestTimeoutMilliseconds,
      configurationOffset: this.configurationOffset,
      pools: [...this.pools.values()],
      virtualMachines: [...this.virtualMachines.values()],
      teams: [...this.teams.values()],
      queues: [...this.queues.values()],
      presets: [...this.presets.values()],
      keys: [...this.keys.values()],
      availabilityZones: [...this.availabilityZones.values()],
      presetInForce: this.presetInForce,
      cutOffPolicy: this.cutOffPolicy,
      members: [...this.members.values()],
      grants: [...this.grants.values()].flatMap(grants => [...grants.values()]),
      leases: [...this.leases.values()],
      claims: [...this.claims.values()],
      waves: [...this.waves.values()],
      workers: [...this.workers.values()],
      tasks: [...this.tasks.values()],
      decisions: [...this.decisions.values()]
    }
  }

  /** Returns the grants of a team by holder, after adding an empty map if the team has none. */
  getOrCreateGrants (team: string): Map<string, LimitGrant> {
    const existing = this.grants.get(team)
    if (existing) return existing
    const created = new Map<string, LimitGrant>()
    this.grants.set(team, created)
    return created
  }

  /** Adds `change` to the number of running tasks of a team. */
  adjustRunningTasks (team: string | null, change: number): void {
    if (team !== null) this.runningTasks.set(team, (this.runningTasks.get(team) ?? 0) + change)
  }

  /** Units of a team's upper limit in use: grants of current and of ended holders, and running tasks. */
  grantedUnits (team: string): number {
    let sum = this.runningTasks.get(team) ?? 0
    for (const grant of this.grants.get(team)?.values() ?? []) sum += grant.units
    return sum
  }

  /** Units of a team's upper limit that are granted to a holder. */
  unitsHeldBy (holder: Holder, team: string): number {
    return this.grants.get(team)?.get(FleetState.holderKey(holder))?.units ?? 0
  }

  /** Values that the preset in force sets for a team; undefined if it sets none. */
  presetValuesOfTeam (team: string): Preset['teams'][number] | undefined {
    return this.activePreset()?.teams.find(presetTeam => presetTeam.team === team)
  }

  /** Effective upper limit of a team: that of the preset in force, else the team's own; 0 for an unknown team. */
  upperLimit (team: string): number {
    return this.presetValuesOfTeam(team)?.upperLimit ?? this.teams.get(team)?.value.upperLimit ?? 0
  }

  /** Effective share of a team: that of the preset in force, else the team's own; 0 for an unknown team. */
  share (team: string): number {
    return this.presetValuesOfTeam(team)?.share ?? this.teams.get(team)?.value.share ?? 0
  }

  /** Effective availability budget of a pool: the minimum number of VMs that must serve. */
  minimumServing (pool: string): number {
    const override = this.activePreset()?.pools.find(presetPool => presetPool.pool === pool)?.minimumServing
    return override ?? this.pools.get(pool)?.value.minimumServing ?? 0
  }

  /** The preset in force; undefined before the first activation. */
  activePreset (): Preset | undefined {
    return this.presetInForce ? this.presets.get(this.presetInForce.name)?.value : undefined
  }

  /** Whether operators have taken an availability zone out of service. */
  isZoneOut (availabilityZone: string): boolean {
    return this.availabilityZones.get(availabilityZone)?.isOut ?? false
  }

  /** Whether new requests may start on a VM. */
  isServing (virtualMachine: VirtualMachineState): boolean {
    return virtualMachine.phase === 'serving' && !virtualMachine.isAbsent && !this.isZoneOut(virtualMachine.value.availabilityZone)
  }

  /** VMs of a pool on which new requests may start. */
  servingVirtualMachines (pool: string): VirtualMachineState[] {
    return [...this.virtualMachines.values()].filter(virtualMachine => virtualMachine.value.pool === pool && this.isServing(virtualMachine))
  }

  /** Whether a holder is the registered incarnation of its member. */
  isRegistered (holder: Holder): boolean {
    return this.members.get(holder.member)?.incarnation === holder.incarnation
  }
}
