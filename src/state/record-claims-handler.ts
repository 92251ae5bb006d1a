/**
 * Decides `record-claims`.
 */
import type { Claim } from '../schemas/claim.js'
import type { ClaimCommand } from '../schemas/claim-command.js'
import type { Finding } from '../schemas/finding.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/**
 * Most claims kept. Beyond it new claims are refused rather than old ones forgotten early,
 * because a forgotten claim could let a request run twice.
 */
const MAXIMUM_CLAIMS = 100_000

/** Lets the first claim of each key win; the author reads back whose it is. */
export class RecordClaimsHandler extends CommandHandler<'record-claims'> {
  override readonly kind = 'record-claims'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<ClaimCommand, { kind: 'record-claims' }>, context: FoldContext): Finding[] {
    if (!state.isRegistered(context.author)) {
      return [{ path: '$', code: 'not-holder', message: `${context.author.member} has no such living incarnation` }]
    }
    if (state.claims.size + command.claims.length <= MAXIMUM_CLAIMS) return []
    return [{ path: '$.claims', code: 'limit', message: `at most ${MAXIMUM_CLAIMS} claims are kept` }]
  }

  override apply (state: FleetState, command: Extract<ClaimCommand, { kind: 'record-claims' }>, _context: FoldContext): void {
    for (const claim of command.claims) {
      const present = state.claims.get(claim.key)
      if (present && !this._isFree(present, state)) continue
      state.claims.delete(claim.key)
      state.claims.set(claim.key, { ...claim, outcome: null })
    }
  }

  /** A claim is free again when its request provably never ran, or once it has expired. */
  private _isFree (claim: Claim, state: FleetState): boolean {
    return claim.outcome?.kind === 'not-run' || claim.expiryDeadline <= state.latestTime
  }
}
