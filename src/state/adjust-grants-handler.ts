/**
 * Handler of the `adjust-grants` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { GrantCommand } from '../schemas/grant-command.js'
import { advanceGrantSequence } from './advance-grant-sequence.js'
import { changeGrantedUnits } from './change-granted-units.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { grantFindings } from './grant-findings.js'

/**
 * Acquires units of a team's upper limit for a holder, or releases units that it holds.
 *
 * A request for more units than are available is granted in part rather than refused, so that
 * the sum over all holders never exceeds the limit at any offset and the holder still gets units.
 */
export class AdjustGrantsHandler extends CommandHandler<'adjust-grants'> {
  override readonly kind = 'adjust-grants'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<GrantCommand, { kind: 'adjust-grants' }>, _context: FoldContext): Finding[] {
    return grantFindings(state, command.holder, command.sequence)
  }

  override apply (state: FleetState, command: Extract<GrantCommand, { kind: 'adjust-grants' }>, _context: FoldContext): void {
    advanceGrantSequence(state, command.holder, command.sequence)
    for (const { team, units } of command.changes) {
      const available = Math.max(0, state.upperLimit(team) - state.grantedUnits(team))
      const held = state.unitsHeldBy(command.holder, team)
      const change = units > 0 ? Math.min(units, available) : Math.max(units, -held)
      if (change !== 0) changeGrantedUnits(state, command.holder, team, change)
    }
  }
}
