/**
 * Durations of the leases that owners request from workers.
 */

/** The same in all processes of a fleet: each owner relies on the durations that the previous owner used. */
export interface LeaseDurations {
  /** Length of a lease. */
  readonly leaseMilliseconds: number
  /** Time for which an owner goes on renewing leases after the store last confirmed its term. */
  readonly renewalGracePeriodMilliseconds: number
}
