/**
 * What owners ask workers for.
 */

/** The same in all processes of a fleet: each owner counts on what the one before may have asked for. */
export interface LeaseTerms {
  /** Length of a lease, in milliseconds. */
  readonly milliseconds: number
  /** How long an owner goes on extending leases after the store has last confirmed its term, in milliseconds. */
  readonly extensionMilliseconds: number
}
