/**
 * Pools in the administration interface.
 */
import type { Command } from '../schemas/command.js'
import { Pool } from '../schemas/pool.js'
import type { FleetState } from '../state/fleet-state.js'
import { ObjectCollection } from './object-collection.js'
import type { ObjectView } from './object-view.js'

/** Shows pools with the number of their VMs and the budget in force. */
export class PoolCollection extends ObjectCollection<Pool> {
  override readonly name = 'pools'
  override readonly schema = Pool

  override list (state: FleetState): ObjectView[] {
    return [...state.pools.values()].map(({ value, version }) => ({
      name: value.name,
      version,
      document: { ...value, ...this._counts(state, value.name) }
    }))
  }

  protected override command (value: Pool, expectedVersion: number): Command {
    return { kind: 'put-pool', value, expectedVersion }
  }

  private _counts (state: FleetState, pool: string): { virtualMachines: number, serving: number, budgetInForce: number } {
    const poolVirtualMachines = [...state.virtualMachines.values()].filter(virtualMachine => virtualMachine.value.pool === pool)
    return { virtualMachines: poolVirtualMachines.length, serving: poolVirtualMachines.filter(virtualMachine => state.isServing(virtualMachine)).length, budgetInForce: state.minimumServing(pool) }
  }
}
