/**
 * Handler of the `record-outcomes` command.
 */
import type { ClaimCommand } from '../schemas/claim-command.js'
import type { Finding } from '../schemas/finding.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Stores the outcomes of requests in their claims. Only the request that holds a claim can set its outcome, and the first outcome is final. */
export class RecordOutcomesHandler extends CommandHandler<'record-outcomes'> {
  override readonly kind = 'record-outcomes'
  override readonly isOperatorChange = false

  override check (_state: FleetState, _command: Extract<ClaimCommand, { kind: 'record-outcomes' }>, _context: FoldContext): Finding[] {
    return []
  }

  override apply (state: FleetState, command: Extract<ClaimCommand, { kind: 'record-outcomes' }>, _context: FoldContext): void {
    for (const { key, requestId, outcome } of command.outcomes) {
      const claim = state.claims.get(key)
      if (!claim || claim.requestId !== requestId || claim.outcome) continue
      state.claims.set(key, { ...claim, outcome })
    }
  }
}
