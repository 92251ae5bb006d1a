/**
 * The fewest moves, spare pools first.
 */
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from '../state/fleet-state.js'
import { MovePlanner } from './move-planner.js'
import type { PlannedMove } from './planned-move.js'

/** A pool with the VMs that it has or will have. */
interface PoolCount {
  readonly name: string
  /** Size asked for, or null if the preset leaves the pool alone. */
  readonly size: number | null
  readonly isSpare: boolean
  /** VMs that are or will be in the pool. */
  count: number
}

/**
 * Every VM missing in one pool takes exactly one move from another that can spare it, so
 * the number of moves is the sum of what is missing: no plan has fewer. Where there is a
 * choice, spare pools give first, then the pool with most to spare; VMs leave the zone
 * where their pool is strongest.
 */
export class FewestMovesPlanner extends MovePlanner {
  override plan (state: FleetState): PlannedMove[] {
    const pools = this._count(state)
    const movable = this._movable(state)
    const moves: PlannedMove[] = []
    const missing = pools.filter(pool => this._missing(pool) > 0).sort((left, right) => this._missing(right) - this._missing(left))
    for (const pool of missing) {
      while (this._missing(pool) > 0) {
        const giver = this._giver(pools, movable)
        const machine = giver && this._leaver(movable.get(giver.name) ?? [])
        if (!giver || !machine) break
        movable.set(giver.name, (movable.get(giver.name) ?? []).filter(other => other !== machine))
        giver.count -= 1
        pool.count += 1
        moves.push({ virtualMachine: machine.value.id, fromPool: giver.name, toPool: pool.name })
      }
    }
    return moves
  }

  private _missing (pool: PoolCount): number {
    return pool.size === null ? 0 : pool.size - pool.count
  }

  private _count (state: FleetState): PoolCount[] {
    const preset = state.activePreset()
    const counts = new Map<string, number>()
    for (const machine of state.virtualMachines.values()) {
      const pool = machine.operation?.toPool ?? machine.value.pool
      counts.set(pool, (counts.get(pool) ?? 0) + 1)
    }
    return [...state.pools.values()].map(({ value }) => ({
      name: value.name,
      size: preset?.pools.find(entry => entry.pool === value.name)?.size ?? null,
      isSpare: value.isSpare,
      count: counts.get(value.name) ?? 0
    }))
  }

  /** VMs without planned work, by pool; absent ones stay where they are. */
  private _movable (state: FleetState): Map<string, VirtualMachineState[]> {
    const movable = new Map<string, VirtualMachineState[]>()
    for (const machine of state.virtualMachines.values()) {
      if (machine.operation || machine.isAbsent) continue
      const { pool } = machine.value
      const present = movable.get(pool)
      if (present) present.push(machine)
      else movable.set(pool, [machine])
    }
    return movable
  }

  /** A pool that can give: one above its size, or a spare pool that the preset leaves alone. */
  private _giver (pools: readonly PoolCount[], movable: ReadonlyMap<string, readonly VirtualMachineState[]>): PoolCount | undefined {
    const able = pools.filter(pool => (movable.get(pool.name)?.length ?? 0) > 0 && this._surplus(pool) > 0)
    return able.sort((left, right) => Number(right.isSpare) - Number(left.isSpare) || this._surplus(right) - this._surplus(left))[0]
  }

  private _surplus (pool: PoolCount): number {
    if (pool.size !== null) return pool.count - pool.size
    return pool.isSpare ? pool.count : 0
  }

  /** A VM of the zone in which the pool has most; by id among equals, so that plans repeat. */
  private _leaver (machines: readonly VirtualMachineState[]): VirtualMachineState | undefined {
    const byZone = new Map<string, number>()
    for (const { value } of machines) byZone.set(value.availabilityZone, (byZone.get(value.availabilityZone) ?? 0) + 1)
    const strength = (machine: VirtualMachineState): number => byZone.get(machine.value.availabilityZone) ?? 0
    return [...machines].sort((left, right) => strength(right) - strength(left) || left.value.id.localeCompare(right.value.id))[0]
  }
}
