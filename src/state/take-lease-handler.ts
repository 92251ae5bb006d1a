/**
 * Decides `take-lease`.
 */
import type { Finding } from '../schemas/finding.js'
import type { LeaseCommand } from '../schemas/lease-command.js'
import { CommandHandler } from './command-handler.js'
import { FleetState } from './fleet-state.js'
import type { FoldContext } from './fold-context.js'

/** Allowance for clocks that differ between VMs before a lapsed lease is taken over, in milliseconds. */
const CLOCK_DIFFERENCE_MILLISECONDS = 1_000

/** Takes a free or lapsed lease under a new token, or renews one's own under the same token. */
export class TakeLeaseHandler extends CommandHandler<'take-lease'> {
  override readonly kind = 'take-lease'
  override readonly isOperatorChange = false

  override check (state: FleetState, command: Extract<LeaseCommand, { kind: 'take-lease' }>, context: FoldContext): Finding[] {
    if (!state.isRegistered(command.holder)) {
      return [{ path: '$.holder', code: 'not-holder', message: `${command.holder.member} has no such living incarnation` }]
    }
    const lease = state.leases.get(command.name)
    if ((lease?.token ?? 0) !== command.expectedToken) {
      return [{ path: '$.expectedToken', code: 'version-conflict', message: `lease is under token ${lease?.token ?? 0}` }]
    }
    if (!lease || this._isOwn(lease.holder, command.holder)) return []
    if (context.time >= lease.deadline + CLOCK_DIFFERENCE_MILLISECONDS) return []
    return [{ path: '$.name', code: 'state', message: `lease is held by ${lease.holder.member} until ${lease.deadline}` }]
  }

  override apply (state: FleetState, command: Extract<LeaseCommand, { kind: 'take-lease' }>, context: FoldContext): void {
    const present = state.leases.get(command.name)
    const isRenewal = present !== undefined && this._isOwn(present.holder, command.holder)
    state.leases.set(command.name, {
      name: command.name,
      holder: command.holder,
      token: isRenewal ? present.token : context.offset,
      deadline: isRenewal ? Math.max(present.deadline, command.deadline) : command.deadline
    })
  }

  private _isOwn (holder: LeaseHolder, other: LeaseHolder): boolean {
    return FleetState.holderKey(holder) === FleetState.holderKey(other)
  }
}

type LeaseHolder = Extract<LeaseCommand, { kind: 'take-lease' }>['holder']
