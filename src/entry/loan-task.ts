/**
 * Borrows units of upper limits while the log cannot move them.
 */
import * as z from 'zod'
import type { Membership } from '../peers/membership.js'
import type { PeerChannel } from '../peers/peer-channel.js'
import type { PeerChannelTable } from '../peers/peer-channel-table.js'
import { Holder } from '../schemas/holder.js'
import { Loan } from '../schemas/loan.js'
import type { MemberStatus } from '../schemas/member-status.js'
import { FleetState } from '../state/fleet-state.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { IdentifierSource } from '../supervision/identifier-source.js'
import { Task } from '../supervision/task.js'
import type { LimitLedger } from './limit-ledger.js'
import type { LoanTable } from './loan-table.js'
import type { PoolQueues } from './pool-queues.js'

/** How often wants and idle loans are looked at, in milliseconds. */
const LOOK_INTERVAL_MILLISECONDS = 100

/**
 * How long work may start under a loan, in milliseconds. The fold waits as much longer
 * before a dead lender's units return (see `endHolder`).
 */
const START_WINDOW_MILLISECONDS = 30_000

/** Remaining time to start work below which a loan in use is renewed, in milliseconds. */
const RENEW_BELOW_MILLISECONDS = 10_000

/** Limit on one call to a lender, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 1_000

const LoanRequest = z.object({ team: Loan.shape.team, units: Loan.shape.units, borrower: Holder })
const LoanAnswer = z.object({ loan: Loan.nullable() })
const LoanReference = z.object({ id: Loan.shape.id })
const SettleAnswer = z.object({})

/**
 * While nobody reaches the log, units go from processes with idle ones to those that want
 * them by loans, which conserve the sum without the log. With the log, `GrantTask` passes
 * them for good.
 */
export class LoanTask extends Task {
  override readonly name = 'loans'
  private readonly _lenders = new Map<string, string>()

  /** @param _self this process's incarnation. */
  constructor (
    private readonly _self: Holder,
    private readonly _book: LoanTable,
    private readonly _ledger: LimitLedger,
    private readonly _queues: PoolQueues,
    private readonly _membership: Membership,
    private readonly _channels: PeerChannelTable,
    private readonly _keeper: StateKeeper,
    private readonly _identifiers: IdentifierSource,
    private readonly _clock: Clock
  ) {
    super()
  }

  /** Offers loans to peers on a channel. */
  registerMethods (channel: PeerChannel): void {
    channel.registerMethod('borrow', LoanRequest, async ({ team, units, borrower }) => ({ loan: this._lend(team, units, borrower) }))
    channel.registerMethod('renew', LoanReference, async ({ id }) => ({ loan: this._extend(id) }))
    channel.registerMethod('settle', LoanReference, async ({ id }) => {
      this._book.removeLent(id)
      return {}
    })
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._look()
      await this._queues.pause(LOOK_INTERVAL_MILLISECONDS, signal)
    }
  }

  private async _look (): Promise<void> {
    const isLogReached = this._membership.isLogReachable
    for (const team of this._keeper.state.teams.keys()) {
      const waiting = this._waiting(team)
      const idle = this._ledger.usable(team) - this._ledger.running(team)
      if (waiting > 0 && idle <= 0 && !isLogReached) await this._borrow(team, waiting)
      else if (waiting === 0 && idle > 0 && this._ledger.borrowed(team) > 0) await this._settle(team, idle)
      const isNeeded = this._ledger.running(team) + waiting > 0
      if (isNeeded) await this._renew(team)
    }
  }

  private async _borrow (team: string, units: number): Promise<void> {
    const lender = this._lender(team)
    const channel = lender && this._channels.get(lender)
    if (!channel) return
    const deadline = this._clock.now() + CALL_TIMEOUT_MILLISECONDS
    const answer = await channel.call({ method: 'borrow', params: { team, units, borrower: this._self }, responseSchema: LoanAnswer, deadline })
    const loan = answer.map(({ loan }) => loan).orDefault(null)
    if (!loan) return
    this._book.putBorrowed(loan)
    this._lenders.set(loan.id, lender)
    for (const queue of this._queues.all()) queue.wake()
  }

  /** Has loans in use extended before work may no longer start under them. */
  private async _renew (team: string): Promise<void> {
    const now = this._clock.now()
    for (const { id } of this._book.borrowedEndingBefore(team, now + RENEW_BELOW_MILLISECONDS)) {
      const channel = this._channels.get(this._lenders.get(id) ?? '')
      const answer = await channel?.call({ method: 'renew', params: { id }, responseSchema: LoanAnswer, deadline: now + CALL_TIMEOUT_MILLISECONDS })
      answer?.ifRight(({ loan }) => loan && this._book.putBorrowed(loan))
    }
  }

  /** Gives idle loans back. They leave use before the lender is told; if it isn't reached, it has them back at the end deadline. */
  private async _settle (team: string, idle: number): Promise<void> {
    const loan = this._book.removeIdleBorrowed(team, idle)
    if (!loan) return
    const channel = this._channels.get(this._lenders.get(loan.id) ?? '')
    this._lenders.delete(loan.id)
    const deadline = this._clock.now() + CALL_TIMEOUT_MILLISECONDS
    await channel?.call({ method: 'settle', params: { id: loan.id }, responseSchema: SettleAnswer, deadline })
  }

  /** Lends what stands idle. The loan is in the book before the answer leaves. */
  private _lend (team: string, wanted: number, borrower: Holder): Loan | null {
    const idle = this._ledger.usable(team) - this._ledger.running(team) - this._waiting(team)
    // Only own units are lent on, so that no unit passes through two hands.
    const units = Math.min(wanted, idle - this._ledger.borrowed(team))
    if (units > 0) return this._grant(team, units, null)
    return this._lendUnderTransfer(team, wanted, borrower)
  }

  /**
   * Units that an undecided transfer keeps from use here can be used by its receiver, and by
   * nobody else: whichever way the fold decides, they are its own or the loan is void.
   */
  private _lendUnderTransfer (team: string, wanted: number, borrower: Holder): Loan | null {
    const transfer = this._ledger.undecidedTransfer(team)
    if (!transfer || FleetState.holderKey(transfer.to) !== FleetState.holderKey(borrower)) return null
    const units = Math.min(wanted, transfer.units - this._book.lentUnitsOfTransfer(team, transfer.sequence))
    return units > 0 ? this._grant(team, units, transfer.sequence) : null
  }

  private _grant (team: string, units: number, transferSequence: number | null): Loan {
    const loan: Loan = { id: this._identifiers.next(), team, units, lender: this._self, transferSequence, ...this._deadlines() }
    this._book.putLent(loan)
    return loan
  }

  private _extend (id: string): Loan | null {
    const loan = this._book.getLent(id)
    if (!loan) return null
    const extended: Loan = { ...loan, ...this._deadlines() }
    this._book.putLent(extended)
    return extended
  }

  private _deadlines (): Pick<Loan, 'startDeadline' | 'endDeadline'> {
    const startDeadline = this._clock.now() + START_WINDOW_MILLISECONDS
    return { startDeadline, endDeadline: startDeadline + this._keeper.state.longestTimeoutMilliseconds }
  }

  /** The process with most idle units among those that can be called. */
  private _lender (team: string): string | undefined {
    const idleAt = (entry: MemberStatus): number => entry.grantUses?.find(use => use.team === team)?.idle ?? 0
    const able = this._membership.reachableEntryStatuses().filter(entry => idleAt(entry) > 0 && this._channels.get(entry.member))
    return able.sort((left, right) => idleAt(right) - idleAt(left))[0]?.member
  }

  private _waiting (team: string): number {
    return this._queues.all().reduce((sum, queue) => sum + queue.waitingOf(team), 0)
  }
}
