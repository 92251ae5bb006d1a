/**
 * Pools in the administration interface.
 */
import type { Command } from '../schemas/command.js'
import { Pool } from '../schemas/pool.js'
import type { FleetState } from '../state/fleet-state.js'
import { ObjectCollection } from './object-collection.js'
import type { ShownObject } from './shown-object.js'

/** Shows pools with the number of their VMs. */
export class PoolCollection extends ObjectCollection<Pool> {
  override readonly name = 'pools'
  override readonly schema = Pool

  override list (state: FleetState): ShownObject[] {
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
    const all = [...state.virtualMachines.values()].filter(machine => machine.value.pool === pool)
    return { virtualMachines: all.length, serving: all.filter(machine => state.isServing(machine)).length, budgetInForce: state.minimumServing(pool) }
  }
}
