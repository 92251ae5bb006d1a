/**
 * Counts a process's running requests against its grants.
 */
import type { Holder } from '../schemas/holder.js'
import type { Loan } from '../schemas/loan.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { LoanTable } from './loan-table.js'

/** Units of upper limits in use at this process. Only what the fold has granted may be used. */
export class LimitLedger {
  private readonly _running = new Map<string, number>()
  private readonly _withheld = new Map<string, number>()
  private _transfer: { to: Holder, sequence: number } | null = null

  constructor (private readonly _keeper: StateKeeper, private readonly _self: Holder, private readonly _loans: LoanTable) {}

  /** Requests of a team that run here, those with lost answers among them. */
  running (team: string): number {
    return this._running.get(team) ?? 0
  }

  /** All teams with running requests. */
  runningTeams (): string[] {
    return [...this._running.keys()]
  }

  /** Units of a team that this process has in the log. */
  held (team: string): number {
    const { state } = this._keeper
    // Units of a process that was declared ended are on their way back to others.
    return state.isRegistered(this._self) ? state.unitsHeldBy(this._self, team) : 0
  }

  /** Units that are lent to other processes, beyond those being passed to them. */
  lent (team: string): number {
    return this._loans.lentUnits(team, this._transfer?.sequence ?? null)
  }

  /** Borrowed units under which work may start. */
  borrowed (team: string): number {
    return this._loans.borrowedUnits(team, loan => this._isVoid(loan))
  }

  /** Units of a team under way to a holder by a transfer that isn't decided, and its sequence. */
  undecidedTransfer (team: string): { to: Holder, sequence: number, units: number } | null {
    if (!this._transfer) return null
    return { ...this._transfer, units: this._withheld.get(team) ?? 0 }
  }

  /** Units that work may use: held and borrowed, less those lent, those being given back and those that a lowered limit takes away. */
  usable (team: string): number {
    const { state } = this._keeper
    const held = this.held(team)
    const given = (this._withheld.get(team) ?? 0) + this.lent(team)
    const granted = state.grantedUnits(team)
    const limit = state.upperLimit(team)
    if (granted <= limit) return held - given + this.borrowed(team)
    // The limit was lowered: every holder keeps at most its part, so that the sum is right at once.
    return Math.min(held - given, Math.floor(held * limit / granted))
  }

  /** Whether one more request of a team may start. Work of no team has no limit. */
  mayStart (team: string | null): boolean {
    return team === null || this.running(team) < this.usable(team)
  }

  /** Counts a request that starts; call only after `mayStart`. */
  start (team: string | null): void {
    if (team !== null) this._running.set(team, this.running(team) + 1)
  }

  /** Counts a request that is known to have ended. */
  end (team: string | null): void {
    if (team === null) return
    const running = this.running(team) - 1
    if (running > 0) this._running.set(team, running)
    else this._running.delete(team)
  }

  /** Keeps units from use while they are being given back or passed on; they must be idle. */
  withhold (team: string, units: number): void {
    this._withheld.set(team, units)
  }

  /** Notes that what is withheld is under way to another holder. */
  recordTransfer (to: Holder, sequence: number): void {
    this._transfer = { to, sequence }
  }

  /** Ends all withholding, once the fold has decided. */
  releaseWithheld (isAccepted: boolean): void {
    if (this._transfer && isAccepted) this._loans.removeLoansOfTransfer(this._transfer.sequence)
    this._transfer = null
    this._withheld.clear()
  }

  /**
   * A loan of units under transfer ends with the fold's decision here, at the same offset at
   * which the units may become held, so that they never count twice. Of a lender that has
   * ended nothing more can be told.
   */
  private _isVoid ({ lender, transferSequence }: Loan): boolean {
    if (transferSequence === null) return false
    const member = this._keeper.state.members.get(lender.member)
    return member?.incarnation !== lender.incarnation || member.grantSequence >= transferSequence
  }
}
