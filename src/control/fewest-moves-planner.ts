/**
 * Plans the fewest moves, from spare pools first.
 */
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from '../state/fleet-state.js'
import { MovePlanner } from './move-planner.js'
import type { PlannedMove } from './planned-move.js'

/** A pool with the number of its VMs after all moves that are planned or in progress. */
interface PoolCount {
  readonly name: string
  /** Size in the preset in force, or null if the preset doesn't name the pool. */
  readonly size: number | null
  readonly isSpare: boolean
  /** VMs that are in the pool or moving to it, without those moving away. */
  count: number
}

/**
 * Every VM that a pool lacks takes exactly one move from a pool with a surplus, so the number of moves is the sum of
 * the shortages, and no plan has fewer. Spare pools are used as donors first, then the pool with the largest surplus.
 * Within a pool, a VM of the availability zone with most of the pool's VMs is moved.
 */
export class FewestMovesPlanner extends MovePlanner {
  override plan (state: FleetState): PlannedMove[] {
    const pools = this._countPools(state)
    const movableByPool = this._movableByPool(state)
    const moves: PlannedMove[] = []
    const shortPools = pools.filter(pool => this._shortage(pool) > 0).sort((left, right) => this._shortage(right) - this._shortage(left))
    for (const pool of shortPools) {
      while (this._shortage(pool) > 0) {
        const donor = this._donor(pools, movableByPool)
        const virtualMachine = donor && this._virtualMachineToMove(movableByPool.get(donor.name) ?? [])
        if (!donor || !virtualMachine) break
        movableByPool.set(donor.name, (movableByPool.get(donor.name) ?? []).filter(other => other !== virtualMachine))
        donor.count -= 1
        pool.count += 1
        moves.push({ virtualMachine: virtualMachine.value.id, fromPool: donor.name, toPool: pool.name })
      }
    }
    return moves
  }

  private _shortage (pool: PoolCount): number {
    return pool.size === null ? 0 : pool.size - pool.count
  }

  private _countPools (state: FleetState): PoolCount[] {
    const preset = state.activePreset()
    const counts = new Map<string, number>()
    for (const virtualMachine of state.virtualMachines.values()) {
      const pool = virtualMachine.operation?.toPool ?? virtualMachine.value.pool
      counts.set(pool, (counts.get(pool) ?? 0) + 1)
    }
    return [...state.pools.values()].map(({ value }) => ({
      name: value.name,
      size: preset?.pools.find(presetPool => presetPool.pool === value.name)?.size ?? null,
      isSpare: value.isSpare,
      count: counts.get(value.name) ?? 0
    }))
  }

  /** VMs that can move, by pool: those that are neither absent nor in an operation. */
  private _movableByPool (state: FleetState): Map<string, VirtualMachineState[]> {
    const movableByPool = new Map<string, VirtualMachineState[]>()
    for (const virtualMachine of state.virtualMachines.values()) {
      if (virtualMachine.operation || virtualMachine.isAbsent) continue
      const { pool } = virtualMachine.value
      const poolVirtualMachines = movableByPool.get(pool)
      if (poolVirtualMachines) poolVirtualMachines.push(virtualMachine)
      else movableByPool.set(pool, [virtualMachine])
    }
    return movableByPool
  }

  /** The pool to take a VM from: one above its size, or a spare pool that the preset doesn't name. */
  private _donor (pools: readonly PoolCount[], movableByPool: ReadonlyMap<string, readonly VirtualMachineState[]>): PoolCount | undefined {
    const candidates = pools.filter(pool => (movableByPool.get(pool.name)?.length ?? 0) > 0 && this._surplus(pool) > 0)
    return candidates.sort((left, right) => Number(right.isSpare) - Number(left.isSpare) || this._surplus(right) - this._surplus(left))[0]
  }

  private _surplus (pool: PoolCount): number {
    if (pool.size !== null) return pool.count - pool.size
    return pool.isSpare ? pool.count : 0
  }

  /** A VM of the zone in which the pool has most VMs; ties are broken by id, so that plans are reproducible. */
  private _virtualMachineToMove (virtualMachines: readonly VirtualMachineState[]): VirtualMachineState | undefined {
    const byZone = new Map<string, number>()
    for (const { value } of virtualMachines) byZone.set(value.availabilityZone, (byZone.get(value.availabilityZone) ?? 0) + 1)
    const zoneCount = (virtualMachine: VirtualMachineState): number => byZone.get(virtualMachine.value.availabilityZone) ?? 0
    return [...virtualMachines].sort((left, right) => zoneCount(right) - zoneCount(left) || left.value.id.localeCompare(right.value.id))[0]
  }
}
