/**
 * Lends and borrows units of upper limits while the log is unreachable.
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

const POLL_INTERVAL_MILLISECONDS = 100

/**
 * Time for which requests may start under a loan. The units of a lender that has ended are
 * freed later by the same time (see `scheduleGrantReturn`).
 */
const START_WINDOW_MILLISECONDS = 30_000

/** A loan in use is renewed when less than this remains until its start deadline. */
const RENEWAL_MARGIN_MILLISECONDS = 10_000

/** Time limit for one call to a lender. */
const CALL_TIMEOUT_MILLISECONDS = 1_000

const LoanRequest = z.object({ team: Loan.shape.team, units: Loan.shape.units, borrower: Holder })
const LoanResponse = z.object({ loan: Loan.nullable() })
const LoanReference = z.object({ id: Loan.shape.id })
const SettleResponse = z.object({})

/**
 * While no process reaches the log, moves units by loans from processes with idle units to
 * those that lack them; the total stays the same without the log. While the log is
 * reachable, `GrantTask` transfers units permanently.
 */
export class LoanTask extends Task {
  override readonly name = 'loans'
  private readonly _lenderByLoan = new Map<string, string>()

  /** @param _self this process, with its incarnation. */
  constructor (
    private readonly _self: Holder,
    private readonly _loans: LoanTable,
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

  /** Registers the loan methods on a channel to a peer. */
  registerMethods (channel: PeerChannel): void {
    channel.registerMethod('borrow', LoanRequest, async ({ team, units, borrower }) => ({ loan: this._lend(team, units, borrower) }))
    channel.registerMethod('renew', LoanReference, async ({ id }) => ({ loan: this._renewLent(id) }))
    channel.registerMethod('settle', LoanReference, async ({ id }) => {
      this._loans.removeLent(id)
      return {}
    })
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this._updateLoans()
      await this._queues.waitForNextPoll(POLL_INTERVAL_MILLISECONDS, signal)
    }
  }

  private async _updateLoans (): Promise<void> {
    const isLogReachable = this._membership.isLogReachable
    for (const team of this._keeper.state.teams.keys()) {
      const waiting = this._countWaitingRequests(team)
      const idle = this._ledger.usable(team) - this._ledger.running(team)
      if (waiting > 0 && idle <= 0 && !isLogReachable) await this._borrow(team, waiting)
      else if (waiting === 0 && idle > 0 && this._ledger.borrowed(team) > 0) await this._settle(team, idle)
      const isNeeded = this._ledger.running(team) + waiting > 0
      if (isNeeded) await this._renew(team)
    }
  }

  private async _borrow (team: string, units: number): Promise<void> {
    const lender = this._chooseLender(team)
    const channel = lender && this._channels.get(lender)
    if (!channel) return
    const deadline = this._clock.now() + CALL_TIMEOUT_MILLISECONDS
    const response = await channel.call({ method: 'borrow', params: { team, units, borrower: this._self }, responseSchema: LoanResponse, deadline })
    const loan = response.map(({ loan }) => loan).orDefault(null)
    if (!loan) return
    this._loans.putBorrowed(loan)
    this._lenderByLoan.set(loan.id, lender)
    for (const queue of this._queues.all()) queue.wake()
  }

  /** Asks lenders to renew loans in use before their start deadlines pass. */
  private async _renew (team: string): Promise<void> {
    const now = this._clock.now()
    for (const { id } of this._loans.borrowedEndingBefore(team, now + RENEWAL_MARGIN_MILLISECONDS)) {
      const channel = this._channels.get(this._lenderByLoan.get(id) ?? '')
      const response = await channel?.call({ method: 'renew', params: { id }, responseSchema: LoanResponse, deadline: now + CALL_TIMEOUT_MILLISECONDS })
      response?.ifRight(({ loan }) => loan && this._loans.putBorrowed(loan))
    }
  }

  /** Returns an idle loan. It is removed before the lender is called; if the call fails, the lender has the units back at the end deadline. */
  private async _settle (team: string, idle: number): Promise<void> {
    const loan = this._loans.removeIdleBorrowed(team, idle)
    if (!loan) return
    const channel = this._channels.get(this._lenderByLoan.get(loan.id) ?? '')
    this._lenderByLoan.delete(loan.id)
    const deadline = this._clock.now() + CALL_TIMEOUT_MILLISECONDS
    await channel?.call({ method: 'settle', params: { id: loan.id }, responseSchema: SettleResponse, deadline })
  }

  /** Lends idle units. The loan is recorded before the response is sent. */
  private _lend (team: string, wanted: number, borrower: Holder): Loan | null {
    const idle = this._ledger.usable(team) - this._ledger.running(team) - this._countWaitingRequests(team)
    // Borrowed units aren't lent again, so that each loan has one lender.
    const units = Math.min(wanted, idle - this._ledger.borrowed(team))
    if (units > 0) return this._createLoan(team, units, null)
    return this._lendUnderTransfer(team, wanted, borrower)
  }

  /**
   * Lends units of an undecided transfer, which are withheld here, to its receiver. This is
   * safe for no other process: once the transfer is decided, either the receiver holds the
   * units itself or the loan has ended.
   */
  private _lendUnderTransfer (team: string, wanted: number, borrower: Holder): Loan | null {
    const transfer = this._ledger.undecidedTransfer(team)
    if (!transfer || FleetState.holderKey(transfer.to) !== FleetState.holderKey(borrower)) return null
    const units = Math.min(wanted, transfer.units - this._loans.lentUnitsOfTransfer(team, transfer.sequence))
    return units > 0 ? this._createLoan(team, units, transfer.sequence) : null
  }

  private _createLoan (team: string, units: number, transferSequence: number | null): Loan {
    const loan: Loan = { id: this._identifiers.next(), team, units, lender: this._self, transferSequence, ...this._deadlines() }
    this._loans.putLent(loan)
    return loan
  }

  private _renewLent (id: string): Loan | null {
    const loan = this._loans.getLent(id)
    if (!loan) return null
    const renewed: Loan = { ...loan, ...this._deadlines() }
    this._loans.putLent(renewed)
    return renewed
  }

  private _deadlines (): Pick<Loan, 'startDeadline' | 'endDeadline'> {
    const startDeadline = this._clock.now() + START_WINDOW_MILLISECONDS
    return { startDeadline, endDeadline: startDeadline + this._keeper.state.longestTimeoutMilliseconds }
  }

  /** Returns the process with the most idle units among the reachable ones. */
  private _chooseLender (team: string): string | undefined {
    const idleAt = (status: MemberStatus): number => status.grantUses?.find(use => use.team === team)?.idle ?? 0
    const reachable = this._membership.reachableEntryStatuses().filter(status => idleAt(status) > 0 && this._channels.get(status.member))
    return reachable.sort((left, right) => idleAt(right) - idleAt(left))[0]?.member
  }

  private _countWaitingRequests (team: string): number {
    return this._queues.all().reduce((sum, queue) => sum + queue.waitingOf(team), 0)
  }
}
