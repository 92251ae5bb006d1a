/**
 * Decides `end-member`.
 */
import type { Finding } from '../schemas/finding.js'
import type { MemberCommand } from '../schemas/member-command.js'
import { CommandHandler } from './command-handler.js'
import { endHolder } from './schedule-grant-return.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Takes a process out of the member set, with its leases. */
export class EndMemberHandler extends CommandHandler<'end-member'> {
  override readonly kind = 'end-member'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<MemberCommand, { kind: 'end-member' }>, _context: FoldContext): Finding[] {
    if (state.isRegistered(command.holder)) return []
    return [{ path: '$.holder', code: 'not-found', message: `${command.holder.member} has no such living incarnation` }]
  }

  override apply (state: FleetState, command: Extract<MemberCommand, { kind: 'end-member' }>, context: FoldContext): void {
    endHolder(state, command.holder, context)
    state.members.delete(command.holder.member)
    for (const [name, lease] of state.leases) {
      if (lease.holder.member === command.holder.member) state.leases.delete(name)
    }
  }
}
