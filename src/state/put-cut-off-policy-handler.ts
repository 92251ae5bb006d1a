/**
 * Handler of the `put-cut-off-policy` command.
 */
import type { PutCommand } from '../schemas/put-command.js'
import type { FleetState } from './fleet-state.js'
import { PutHandler } from './put-handler.js'

/** Replaces the policy that entry VMs follow while their view is stale. */
export class PutCutOffPolicyHandler extends PutHandler<'put-cut-off-policy'> {
  override readonly kind = 'put-cut-off-policy'

  protected override versionOf (state: FleetState, _command: Extract<PutCommand, { kind: 'put-cut-off-policy' }>): number {
    return state.cutOffPolicy.version
  }

  protected override store (state: FleetState, { value }: Extract<PutCommand, { kind: 'put-cut-off-policy' }>, version: number): void {
    state.cutOffPolicy = { value, version }
  }
}
