/**
 * Decides `adjust-grants`.
 */
import type { Finding } from '../schemas/finding.js'
import type { GrantCommand } from '../schemas/grant-command.js'
import { advanceGrantSequence } from './advance-grant-sequence.js'
import { changeUnits } from './change-granted-units.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { grantFindings } from './grant-findings.js'

/**
 * Takes units from what is free of a team's limit, or gives units back.
 *
 * Asking for more than is free takes what there is: the sum over all holders never
 * exceeds the limit at any offset, and no holder goes away empty for asking too much.
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
      const free = Math.max(0, state.upperLimit(team) - state.grantedUnits(team))
      const held = state.unitsHeldBy(command.holder, team)
      const change = units > 0 ? Math.min(units, free) : Math.max(units, -held)
      if (change !== 0) changeUnits(state, command.holder, team, change)
    }
  }
}
