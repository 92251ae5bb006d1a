/**
 * Handler of the `release-lease` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { LeaseCommand } from '../schemas/lease-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'
import { leaseFindings } from './lease-findings.js'

/** Releases a lease, so that the next holder needn't wait for it to expire. */
export class ReleaseLeaseHandler extends CommandHandler<'release-lease'> {
  override readonly kind = 'release-lease'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<LeaseCommand, { kind: 'release-lease' }>, _context: FoldContext): Finding[] {
    return leaseFindings(state, { lease: command.name, token: command.token })
  }

  override apply (state: FleetState, command: Extract<LeaseCommand, { kind: 'release-lease' }>, _context: FoldContext): void {
    state.leases.delete(command.name)
  }
}
