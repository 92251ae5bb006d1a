/**
 * Decides `return-grants`.
 */
import type { Finding } from '../schemas/finding.js'
import type { GrantCommand } from '../schemas/grant-command.js'
import { CommandHandler } from './command-handler.js'
import { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Brings the units of a dead holder back once nothing that it started can still run. */
export class ReturnGrantsHandler extends CommandHandler<'return-grants'> {
  override readonly kind = 'return-grants'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<GrantCommand, { kind: 'return-grants' }>, context: FoldContext): Finding[] {
    if (state.isRegistered(command.holder)) {
      return [{ path: '$.holder', code: 'state', message: `${command.holder.member} is alive` }]
    }
    const holderKey = FleetState.holderKey(command.holder)
    for (const grants of state.grants.values()) {
      const deadline = grants.get(holderKey)?.returnDeadline
      if (deadline != null && context.time < deadline) {
        return [{ path: '$.holder', code: 'state', message: `work may run until ${deadline}` }]
      }
    }
    return []
  }

  override apply (state: FleetState, command: Extract<GrantCommand, { kind: 'return-grants' }>, _context: FoldContext): void {
    const holderKey = FleetState.holderKey(command.holder)
    for (const [team, grants] of state.grants) {
      grants.delete(holderKey)
      if (grants.size === 0) state.grants.delete(team)
    }
  }
}
