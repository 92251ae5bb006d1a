/**
 * The claim that started a term.
 */
import type { EarlierOwners } from './earlier-owners.js'

/** What a new owner knows about its claim and about the previous owner. */
export interface TermClaim {
  /** Offset of the claim's record. */
  readonly offset: number
  /** Epoch milliseconds at which the claim was sent. */
  readonly sentAt: number
  /** The owners before this one. */
  readonly earlierOwners: EarlierOwners
}
