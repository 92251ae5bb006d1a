/**
 * Handler of the `record-claims` command.
 */
import type { Claim } from '../schemas/claim.js'
import type { ClaimCommand } from '../schemas/claim-command.js'
import type { Finding } from '../schemas/finding.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/**
 * Maximum number of stored claims. Beyond this, new claims are refused rather than old ones
 * evicted, because evicting a claim before it expires could let a request run twice.
 */
const MAXIMUM_CLAIMS = 100_000

/** Stores the first claim of each key. The author learns from the state whether its claim was stored. */
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
      const existing = state.claims.get(claim.key)
      if (existing && !this._isReplaceable(existing, state)) continue
      state.claims.delete(claim.key)
      state.claims.set(claim.key, { ...claim, outcome: null })
    }
  }

  /** Whether another request may claim the key: the claim has expired, or its request certainly never ran. */
  private _isReplaceable (claim: Claim, state: FleetState): boolean {
    return claim.outcome?.kind === 'not-run' || claim.expiryDeadline <= state.latestTime
  }
}
