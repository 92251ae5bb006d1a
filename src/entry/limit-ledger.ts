/**
 * Accounts for a process's running requests and the units of upper limits that they use.
 */
import type { Holder } from '../schemas/holder.js'
import type { Loan } from '../schemas/loan.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { LoanTable } from './loan-table.js'

/** Tracks the units of upper limits in use at this process. Only units that the state grants to it, or that it has borrowed, may be used. */
export class LimitLedger {
  private readonly _running = new Map<string, number>()
  private readonly _withheld = new Map<string, number>()
  private _undecidedTransfer: { to: Holder, sequence: number } | null = null

  constructor (private readonly _keeper: StateKeeper, private readonly _self: Holder, private readonly _loans: LoanTable) {}

  /** Number of a team's running requests, including those whose response was lost and that may still run. */
  running (team: string): number {
    return this._running.get(team) ?? 0
  }

  /** Teams with running requests. */
  runningTeams (): string[] {
    return [...this._running.keys()]
  }

  /** Units of a team that the state grants to this process. */
  held (team: string): number {
    const { state } = this._keeper
    // Units of a process that has been declared ended are about to be freed for others.
    return state.isRegistered(this._self) ? state.unitsHeldBy(this._self, team) : 0
  }

  /** Units that are lent to other processes, without those lent from the undecided transfer, which are withheld already. */
  lent (team: string): number {
    return this._loans.lentUnits(team, this._undecidedTransfer?.sequence ?? null)
  }

  /** Borrowed units under which requests may still start. */
  borrowed (team: string): number {
    return this._loans.borrowedUnits(team, loan => this._isTransferDecided(loan))
  }

  /** The undecided transfer with its receiver, its sequence and the team's units in it, or null. */
  undecidedTransfer (team: string): { to: Holder, sequence: number, units: number } | null {
    if (!this._undecidedTransfer) return null
    return { ...this._undecidedTransfer, units: this._withheld.get(team) ?? 0 }
  }

  /** Units that requests may use: those held and borrowed, minus those lent, withheld, or above a lowered limit. */
  usable (team: string): number {
    const { state } = this._keeper
    const held = this.held(team)
    const unavailable = (this._withheld.get(team) ?? 0) + this.lent(team)
    const granted = state.grantedUnits(team)
    const limit = state.upperLimit(team)
    if (granted <= limit) return held - unavailable + this.borrowed(team)
    // After the limit was lowered, each holder uses at most its proportion of it, so that the total is within the new limit immediately.
    return Math.min(held - unavailable, Math.floor(held * limit / granted))
  }

  /** Whether one more request of a team may start. Requests without a team have no limit. */
  mayStart (team: string | null): boolean {
    return team === null || this.running(team) < this.usable(team)
  }

  /** Counts a request as running; call only if `mayStart` returned true. */
  start (team: string | null): void {
    if (team !== null) this._running.set(team, this.running(team) + 1)
  }

  /** Counts a request as ended; call only when it certainly no longer runs. */
  end (team: string | null): void {
    if (team === null) return
    const running = this.running(team) - 1
    if (running > 0) this._running.set(team, running)
    else this._running.delete(team)
  }

  /** Withholds idle units from use while they are being returned or transferred. */
  withhold (team: string, units: number): void {
    this._withheld.set(team, units)
  }

  /** Records that the withheld units are in a transfer to another holder. */
  recordTransfer (to: Holder, sequence: number): void {
    this._undecidedTransfer = { to, sequence }
  }

  /** Stops withholding units; call when the change has been decided. */
  releaseWithheld (isAccepted: boolean): void {
    if (this._undecidedTransfer && isAccepted) this._loans.removeLoansOfTransfer(this._undecidedTransfer.sequence)
    this._undecidedTransfer = null
    this._withheld.clear()
  }

  /**
   * Whether the transfer that a loan's units belong to has been decided in the local state.
   * The loan ends at the offset of that decision, at which the units may become held, so
   * that they are never counted twice. If the lender's incarnation has ended, the transfer
   * counts as decided, because the state no longer shows it.
   */
  private _isTransferDecided ({ lender, transferSequence }: Loan): boolean {
    if (transferSequence === null) return false
    const member = this._keeper.state.members.get(lender.member)
    return member?.incarnation !== lender.incarnation || member.grantSequence >= transferSequence
  }
}
