/**
 * How long an owner goes on without the store.
 */

/**
 * Time for which an owner without contact to the store goes on renewing leases, in milliseconds: together with a lease of 5 s this bridges an outage of nine seconds. The same
 * in all processes of a fleet, since each owner relies on it.
 */
export const RENEWAL_GRACE_PERIOD_MILLISECONDS = 6_000
