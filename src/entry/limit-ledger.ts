/**
 * Counts a process's running requests against its grants.
 */
import type { Holder } from '../schemas/holder.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { LoanBook } from './loan-book.js'

/** Units of upper limits in use at this process. Only what the fold has granted may be used. */
export class LimitLedger {
  private readonly _running = new Map<string, number>()
  private readonly _withheld = new Map<string, number>()

  constructor (private readonly _keeper: StateKeeper, private readonly _self: Holder, private readonly _loans: LoanBook) {}

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
    return state.isLiving(this._self) ? state.unitsHeldBy(this._self, team) : 0
  }

  /** Units that are lent to other processes. */
  lent (team: string): number {
    return this._loans.lent(team)
  }

  /** Units that work may use: held and borrowed, less those lent, those being given back and those that a lowered limit takes away. */
  usable (team: string): number {
    const { state } = this._keeper
    const held = this.held(team)
    const given = (this._withheld.get(team) ?? 0) + this._loans.lent(team)
    const granted = state.grantedUnits(team)
    const limit = state.upperLimit(team)
    if (granted <= limit) return held - given + this._loans.borrowed(team)
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

  /** Keeps units from use while they are being given back; they must be idle. */
  withhold (team: string, units: number): void {
    this._withheld.set(team, units)
  }

  /** Ends all withholding, once the fold has decided. */
  releaseWithheld (): void {
    this._withheld.clear()
  }
}
