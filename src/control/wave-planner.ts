/**
 * Plans maintenance waves.
 */
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from '../state/fleet-state.js'

/** Time to drain, reboot and probe one VM, assumed for estimates, in milliseconds. */
const ASSUMED_MAINTENANCE_MILLISECONDS = 120_000

/** A plan as operators see it before the wave starts. */
interface WavePlan {
  readonly order: string[]
  /** VMs of each pool that the availability budgets currently allow out of service at once. */
  readonly atOnceByPool: { pool: string, virtualMachines: number, atOnce: number }[]
  /** Pools whose budget currently allows no VM out of service. */
  readonly blockedPools: string[]
  /** Estimate in milliseconds; null where a pool is blocked. */
  readonly expectedMilliseconds: number | null
}

/** Plans waves from the state alone. */
export class WavePlanner {
  /**
   * Orders the VMs of each pool by zone and rack, so that those of one failure domain are maintained together,
   * and alternates between pools, so that the budget of one doesn't delay the others.
   */
  plan (state: FleetState, virtualMachines: readonly VirtualMachineState[], maximumAtOnce: number): WavePlan {
    const pools = this._sortedByPool(virtualMachines)
    const atOnceByPool = [...pools].map(([pool, poolVirtualMachines]) => ({
      pool,
      virtualMachines: poolVirtualMachines.length,
      atOnce: Math.min(maximumAtOnce, Math.max(0, state.servingVirtualMachines(pool).length - state.minimumServing(pool)))
    }))
    const blockedPools = atOnceByPool.filter(({ atOnce }) => atOnce === 0).map(({ pool }) => pool)
    return { order: this._interleave(pools), atOnceByPool, blockedPools, expectedMilliseconds: this._estimateMilliseconds(atOnceByPool, maximumAtOnce) }
  }

  private _sortedByPool (virtualMachines: readonly VirtualMachineState[]): Map<string, VirtualMachineState[]> {
    const location = ({ value }: VirtualMachineState): string => `${value.availabilityZone}/${value.rack}/${value.id}`
    const pools = new Map<string, VirtualMachineState[]>()
    for (const virtualMachine of [...virtualMachines].sort((left, right) => location(left).localeCompare(location(right)))) {
      const group = pools.get(virtualMachine.value.pool)
      if (group) group.push(virtualMachine)
      else pools.set(virtualMachine.value.pool, [virtualMachine])
    }
    return pools
  }

  private _interleave (pools: ReadonlyMap<string, readonly VirtualMachineState[]>): string[] {
    const order: string[] = []
    const longest = Math.max(0, ...[...pools.values()].map(poolVirtualMachines => poolVirtualMachines.length))
    for (let index = 0; index < longest; index++) {
      for (const poolVirtualMachines of pools.values()) {
        const virtualMachine = poolVirtualMachines[index]
        if (virtualMachine) order.push(virtualMachine.value.id)
      }
    }
    return order
  }

  private _estimateMilliseconds (pools: WavePlan['atOnceByPool'], maximumAtOnce: number): number | null {
    if (pools.some(({ atOnce }) => atOnce === 0)) return null
    const byPool = pools.map(({ virtualMachines, atOnce }) => Math.ceil(virtualMachines / atOnce))
    const all = pools.reduce((sum, { virtualMachines }) => sum + virtualMachines, 0)
    return Math.max(0, Math.ceil(all / maximumAtOnce), ...byPool) * ASSUMED_MAINTENANCE_MILLISECONDS
  }
}
