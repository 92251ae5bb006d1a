/**
 * A term of ownership of the journal.
 */
import type { LeaseRenewals } from './lease-renewals.js'

/** What the newest record of a term says. */
export interface Term {
  /** Number of the term; 0 if there has been none. */
  readonly number: number
  /** Name of the incarnation of the process that holds it. */
  readonly holder: string
  /** Name of that process, which its next incarnation has as well; empty if unknown. */
  readonly process: string
  readonly isReleased: boolean
  /** Fleet time of the newest claim, renewal or release. */
  readonly renewedAt: number
  /** What the last owner that has extended leases wrote about that; null if none has. */
  readonly renewals: LeaseRenewals | null
  /** Epoch milliseconds, on this process's clock, at which it first read that. */
  readonly renewalsReadAt: number
}
