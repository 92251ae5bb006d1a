/**
 * Decides `transfer-grants`.
 */
import type { Finding } from '../schemas/finding.js'
import type { GrantCommand } from '../schemas/grant-command.js'
import { advanceGrantSequence } from './advance-grant-sequence.js'
import { changeUnits } from './change-granted-units.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { grantFindings } from './grant-findings.js'

/** Passes units from the author to another living holder; the sum stays the same. */
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
      const passed = Math.min(units, state.unitsHeldBy(command.holder, team))
      changeUnits(state, command.holder, team, -passed)
      if (passed > 0) changeUnits(state, command.to, team, passed)
    }
  }
}
