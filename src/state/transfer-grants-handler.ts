/**
 * Handler of the `transfer-grants` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { GrantCommand } from '../schemas/grant-command.js'
import { advanceGrantSequence } from './advance-grant-sequence.js'
import { changeGrantedUnits } from './change-granted-units.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { grantFindings } from './grant-findings.js'

/** Transfers granted units to another registered holder; the sum over all holders stays the same. */
export class TransferGrantsHandler extends CommandHandler<'transfer-grants'> {
  override readonly kind = 'transfer-grants'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<GrantCommand, { kind: 'transfer-grants' }>, _context: FoldContext): Finding[] {
    const findings = grantFindings(state, command.holder, command.sequence)
    if (!state.isRegistered(command.to)) {
      findings.push({ path: '$.to', code: 'not-found', message: `${command.to.member} has no such living incarnation` })
    }
    command.changes.forEach(({ team, units }, index) => {
      const held = state.unitsHeldBy(command.holder, team)
      if (units > 0 && units <= held) return
      findings.push({ path: `$.changes[${index}].units`, code: 'limit', message: `cannot pass ${units} units; ${held} are held` })
    })
    return findings
  }

  override apply (state: FleetState, command: Extract<GrantCommand, { kind: 'transfer-grants' }>, _context: FoldContext): void {
    advanceGrantSequence(state, command.holder, command.sequence)
    for (const { team, units } of command.changes) {
      const transferred = Math.min(units, state.unitsHeldBy(command.holder, team))
      changeGrantedUnits(state, command.holder, team, -transferred)
      if (transferred > 0) changeGrantedUnits(state, command.to, team, transferred)
    }
  }
}
