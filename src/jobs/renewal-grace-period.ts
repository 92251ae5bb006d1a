/**
 * How long an owner goes on without the store.
 */

/**
 * Periods from a renewal of the term, in milliseconds, in which its owner may extend leases without another renewal; with leases of 5 s, runs outlast an outage of the store of nine seconds.
 * The same in all processes of a fleet.
 */
export const RENEWAL_GRACE_PERIOD = {
  /** End of the first period. The tasks of lost workers wait for it after each change of owner. */
  untilMilliseconds: 1_800,
  /**
   * Earliest start of the second one, which needs responses to later calls from a quorum of the workers that the renewal names: they refuse the calls of an
   * owner whose successor has called them, as it does within three seconds.
   */
  resumesAfterMilliseconds: 5_000,
  /** End of the second period. */
  resumesUntilMilliseconds: 6_000
} as const
