/**
 * Units lent to and borrowed from other entry processes.
 */
import type { Loan } from '../schemas/loan.js'
import type { Clock } from '../supervision/clock.js'

/**
 * Both sides of all loans of one process.
 *
 * A lender counts a loan from before it is told to the borrower until its end deadline, or
 * until the borrower has said that it is over; a borrower counts it only until its start
 * deadline. So whatever message is lost, no unit is used twice: at worst it is used by
 * nobody until the end deadline.
 */
export class LoanTable {
  private readonly _lent = new Map<string, Loan>()
  private readonly _borrowed = new Map<string, Loan>()

  constructor (private readonly _clock: Clock) {}

  /**
   * Units of a team that are lent.
   *
   * @param undecidedSequence transfer under way; what is lent of it is withheld already.
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

  /** Units lent of a transfer that isn't decided yet. */
  lentUnitsOfTransfer (team: string, sequence: number): number {
    const loans = [...this._lent.values()].filter(loan => loan.team === team && loan.transferSequence === sequence)
    return loans.reduce((sum, loan) => sum + loan.units, 0)
  }

  /** Ends the loans of a transfer that the fold accepted: the borrower now holds the units for good. */
  removeLoansOfTransfer (sequence: number): void {
    for (const loan of this._lent.values()) if (loan.transferSequence === sequence) this._lent.delete(loan.id)
  }

  /**
   * Borrowed units of a team under which work may start now.
   *
   * @param isVoid whether the fold has decided the transfer that a loan belongs to.
   */
  borrowedUnits (team: string, isVoid: (loan: Loan) => boolean): number {
    const now = this._clock.now()
    let units = 0
    for (const loan of this._borrowed.values()) {
      if (loan.startDeadline <= now || isVoid(loan)) this._borrowed.delete(loan.id)
      else if (loan.team === team) units += loan.units
    }
    return units
  }

  /** Notes a loan that is about to be told to its borrower. */
  putLent (loan: Loan): void {
    this._lent.set(loan.id, loan)
  }

  /** Notes a loan that a lender has granted. */
  putBorrowed (loan: Loan): void {
    this._borrowed.set(loan.id, loan)
  }

  /** Borrowed loans of a team whose start deadline is near: before `deadline`, epoch milliseconds. */
  borrowedEndingBefore (team: string, deadline: number): Loan[] {
    return [...this._borrowed.values()].filter(loan => loan.team === team && loan.startDeadline < deadline)
  }

  /** A loan that is lent, if it has not ended. */
  getLent (id: string): Loan | undefined {
    const loan = this._lent.get(id)
    return loan && loan.endDeadline > this._clock.now() ? loan : undefined
  }

  /** Ends a loan at the lender: its borrower has no more work under it. */
  removeLent (id: string): void {
    this._lent.delete(id)
  }

  /**
   * Takes a loan that stands idle out of use at the borrower, so that it can be settled.
   *
   * @param idle units of the team that no work uses.
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
