/**
 * Decides `join-member`.
 */
import type { Finding } from '../schemas/finding.js'
import type { MemberCommand } from '../schemas/member-command.js'
import { CommandHandler } from './command-handler.js'
import { endHolder } from './schedule-grant-return.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Registers a process. A new incarnation of the same VM proves that the one before has ended. */
export class JoinMemberHandler extends CommandHandler<'join-member'> {
  override readonly kind = 'join-member'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<MemberCommand, { kind: 'join-member' }>, _context: FoldContext): Finding[] {
    const present = state.members.get(command.value.id)
    if (!present) return []
    if (present.incarnation === command.value.incarnation) {
      return [{ path: '$.incarnation', code: 'duplicate', message: 'has joined already' }]
    }
    // A late copy of an earlier incarnation's record must not push out the living one.
    if (command.value.joinedAt < present.joinedAt) {
      return [{ path: '$.joinedAt', code: 'state', message: 'a later incarnation has joined' }]
    }
    return []
  }

  override apply (state: FleetState, command: Extract<MemberCommand, { kind: 'join-member' }>, context: FoldContext): void {
    const present = state.members.get(command.value.id)
    if (present) endHolder(state, { member: present.id, incarnation: present.incarnation }, context)
    state.members.set(command.value.id, { ...command.value, version: context.offset, grantSequence: 0 })
  }
}
