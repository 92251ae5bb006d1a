/**
 * The claim that started a term.
 */

/** What a new owner knows about its claim and about the previous owner. */
export interface TermClaim {
  /** Offset of the claim's record. */
  readonly offset: number
  /** Epoch milliseconds at which the claim was sent. */
  readonly sentAt: number
  /** Number of the previous term; 0 if this is the first. */
  readonly previousTerm: number
  /** Whether the previous owner has released its term, and so renews no more leases. */
  readonly isHandover: boolean
  /** Epoch milliseconds before which the previous owner wrote its last record. */
  readonly predecessorLastContactAt: number
}
