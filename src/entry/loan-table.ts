/**
 * The loans of one entry process: units lent to and borrowed from other entry processes.
 */
import type { Loan } from '../schemas/loan.js'
import type { Clock } from '../supervision/clock.js'

/**
 * Keeps the loans in which the process is the lender and those in which it is the borrower.
 *
 * A lender counts a loan from before the response to the borrower is sent until the loan's
 * end deadline, or until the borrower has settled it. A borrower counts it only until its
 * start deadline. Whichever message is lost, no unit is used twice; at worst it stays unused
 * until the end deadline.
 */
export class LoanTable {
  private readonly _lent = new Map<string, Loan>()
  private readonly _borrowed = new Map<string, Loan>()

  constructor (private readonly _clock: Clock) {}

  /**
   * Units of a team that are lent.
   *
   * @param undecidedSequence sequence of the undecided transfer, or null; units lent from it aren't counted, because they are withheld already.
   */
  lentUnits (team: string, undecidedSequence: number | null): number {
    const now = this._clock.now()
    let units = 0
    for (const loan of this._lent.values()) {
      if (loan.endDeadline <= now) this._lent.delete(loan.id)
      else if (loan.team === team && (loan.transferSequence === null || loan.transferSequence !== undecidedSequence)) units += loan.units
    }
    return units
  }

  /** Units of a team that are lent from an undecided transfer. */
  lentUnitsOfTransfer (team: string, sequence: number): number {
    const loans = [...this._lent.values()].filter(loan => loan.team === team && loan.transferSequence === sequence)
    return loans.reduce((sum, loan) => sum + loan.units, 0)
  }

  /** Removes the loans from a transfer that was accepted: the borrower now holds the units itself. */
  removeLoansOfTransfer (sequence: number): void {
    for (const loan of this._lent.values()) if (loan.transferSequence === sequence) this._lent.delete(loan.id)
  }

  /**
   * Borrowed units of a team under which requests may start now.
   *
   * @param isTransferDecided whether the transfer that a loan's units belong to has been decided.
   */
  borrowedUnits (team: string, isTransferDecided: (loan: Loan) => boolean): number {
    const now = this._clock.now()
    let units = 0
    for (const loan of this._borrowed.values()) {
      if (loan.startDeadline <= now || isTransferDecided(loan)) this._borrowed.delete(loan.id)
      else if (loan.team === team) units += loan.units
    }
    return units
  }

  /** Adds or renews a loan as the lender; call before the response to the borrower is sent. */
  putLent (loan: Loan): void {
    this._lent.set(loan.id, loan)
  }

  /** Adds or renews a loan as the borrower. */
  putBorrowed (loan: Loan): void {
    this._borrowed.set(loan.id, loan)
  }

  /** Borrowed loans of a team whose start deadline is before `deadline` (epoch milliseconds). */
  borrowedEndingBefore (team: string, deadline: number): Loan[] {
    return [...this._borrowed.values()].filter(loan => loan.team === team && loan.startDeadline < deadline)
  }

  /** Returns a lent loan by its id, if it has not ended. */
  getLent (id: string): Loan | undefined {
    const loan = this._lent.get(id)
    return loan && loan.endDeadline > this._clock.now() ? loan : undefined
  }

  /** Ends a loan as the lender, because its borrower no longer uses it. */
  removeLent (id: string): void {
    this._lent.delete(id)
  }

  /**
   * Removes and returns a borrowed loan whose units are all idle, so that it can be settled with the lender.
   *
   * @param idle units of the team that no request uses.
   */
  removeIdleBorrowed (team: string, idle: number): Loan | undefined {
    for (const loan of this._borrowed.values()) {
      if (loan.team !== team || loan.units > idle) continue
      this._borrowed.delete(loan.id)
      return loan
    }
    return undefined
  }
}
