/**
 * Handler of the `put-pool` command.
 */
import type { PutCommand } from '../schemas/put-command.js'
import type { FleetState } from './fleet-state.js'
import { PutHandler } from './put-handler.js'

/** Creates or replaces a pool. */
export class PutPoolHandler extends PutHandler<'put-pool'> {
  override readonly kind = 'put-pool'

  protected override versionOf (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-pool' }>): number {
    return state.pools.get(value.name)?.version ?? 0
  }

  protected override store (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-pool' }>, version: number): void {
    state.pools.set(value.name, { value, version })
  }
}
