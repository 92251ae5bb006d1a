/**
 * Handler of the `join-member` command.
 */
import type { Finding } from '../schemas/finding.js'
import type { MemberCommand } from '../schemas/member-command.js'
import { CommandHandler } from './command-handler.js'
import { scheduleGrantReturn } from './schedule-grant-return.js'
import type { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Registers a process. A new incarnation of a member proves that the previous one has ended. */
export class JoinMemberHandler extends CommandHandler<'join-member'> {
  override readonly kind = 'join-member'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<MemberCommand, { kind: 'join-member' }>, _context: FoldContext): Finding[] {
    const existing = state.members.get(command.value.id)
    if (!existing) return []
    if (existing.incarnation === command.value.incarnation) {
      return [{ path: '$.incarnation', code: 'duplicate', message: 'has joined already' }]
    }
    // A delayed append of an earlier incarnation's record must not replace the current one.
    if (command.value.joinedAt < existing.joinedAt) {
      return [{ path: '$.joinedAt', code: 'state', message: 'a later incarnation has joined' }]
    }
    return []
  }

  override apply (state: FleetState, command: Extract<MemberCommand, { kind: 'join-member' }>, context: FoldContext): void {
    const existing = state.members.get(command.value.id)
    if (existing) scheduleGrantReturn(state, { member: existing.id, incarnation: existing.incarnation }, context)
    const isHostListed = existing?.host === command.value.host && existing.isHostListed === true
    state.members.set(command.value.id, { ...command.value, isHostListed, version: context.offset, grantSequence: 0 })
  }
}
