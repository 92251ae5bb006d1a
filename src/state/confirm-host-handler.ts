/**
 * Handler of the `confirm-host` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { MemberCommand } from '../schemas/member-command.js'
import { CommandHandler } from './command-handler.js'
import type { FleetState } from './fleet-state.js'

/** Notes that the platform's list has had the host of a process, so that a host that is missing from it has gone and isn't new. */
export class ConfirmHostHandler extends CommandHandler<'confirm-host'> {
  override readonly kind = 'confirm-host'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<MemberCommand, { kind: 'confirm-host' }>): Finding[] {
    if (state.isRegistered(command.holder)) return []
    return [{ path: '$.holder', code: 'not-found', message: `${command.holder.member} has no such living incarnation` }]
  }

  override apply (state: FleetState, command: Extract<MemberCommand, { kind: 'confirm-host' }>): void {
    const member = state.members.get(command.holder.member)
    if (member) state.members.set(member.id, { ...member, isHostListed: true })
  }
}
