/**
 * How a term began.
 */

/** What a new owner knows of its claim and of the owner before. */
export interface TermClaim {
  /** Offset of the claim's record. */
  readonly offset: number
  /** Epoch milliseconds before which the claim was sent. */
  readonly sentAt: number
  /** Whether the owner before has released its term, and so extends no leases any more. */
  readonly isHandover: boolean
  /** Epoch milliseconds before which the owner before wrote its last record. */
  readonly predecessorLastContactAt: number
}
