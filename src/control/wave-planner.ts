/**
 * In which order a wave maintains VMs.
 */
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from '../state/fleet-state.js'

/** Step time assumed for estimates, in milliseconds: drain, reboot, probe. */
const ASSUMED_STEP_MILLISECONDS = 120_000

/** A plan as shown before it starts. */
interface WavePlan {
  readonly order: string[]
  /** Most VMs out of service at once that the budgets allow now, by pool. */
  readonly atOnceByPool: { pool: string, virtualMachines: number, atOnce: number }[]
  /** Pools whose budget leaves no room at all. */
  readonly blockedPools: string[]
  /** Estimate in milliseconds; null where a pool is blocked. */
  readonly expectedMilliseconds: number | null
}

/** Plans waves from the state alone. */
export class WavePlanner {
  /**
   * Orders VMs by zone and rack, so that what fails together is maintained together, and
   * pools alternate, so that no pool's budget holds the others up.
   */
  plan (state: FleetState, machines: readonly VirtualMachineState[], maximumAtOnce: number): WavePlan {
    const pools = this._byPool(machines)
    const atOnceByPool = [...pools].map(([pool, members]) => ({
      pool,
      virtualMachines: members.length,
      atOnce: Math.min(maximumAtOnce, Math.max(0, state.servingVirtualMachines(pool).length - state.minimumServing(pool)))
    }))
    const blockedPools = atOnceByPool.filter(({ atOnce }) => atOnce === 0).map(({ pool }) => pool)
    return { order: this._order(pools), atOnceByPool, blockedPools, expectedMilliseconds: this._expect(atOnceByPool, maximumAtOnce) }
  }

  private _byPool (machines: readonly VirtualMachineState[]): Map<string, VirtualMachineState[]> {
    const place = ({ value }: VirtualMachineState): string => `${value.availabilityZone}/${value.rack}/${value.id}`
    const pools = new Map<string, VirtualMachineState[]>()
    for (const machine of [...machines].sort((left, right) => place(left).localeCompare(place(right)))) {
      const present = pools.get(machine.value.pool)
      if (present) present.push(machine)
      else pools.set(machine.value.pool, [machine])
    }
    return pools
  }

  private _order (pools: ReadonlyMap<string, readonly VirtualMachineState[]>): string[] {
    const order: string[] = []
    const longest = Math.max(0, ...[...pools.values()].map(members => members.length))
    for (let index = 0; index < longest; index++) {
      for (const members of pools.values()) {
        const machine = members[index]
        if (machine) order.push(machine.value.id)
      }
    }
    return order
  }

  private _expect (pools: WavePlan['atOnceByPool'], maximumAtOnce: number): number | null {
    if (pools.some(({ atOnce }) => atOnce === 0)) return null
    const byPool = pools.map(({ virtualMachines, atOnce }) => Math.ceil(virtualMachines / atOnce))
    const all = pools.reduce((sum, { virtualMachines }) => sum + virtualMachines, 0)
    return Math.max(0, Math.ceil(all / maximumAtOnce), ...byPool) * ASSUMED_STEP_MILLISECONDS
  }
}
