/**
 * Margin on the expiry of leases.
 */

/** Allows for the time that a worker takes to kill its runs after its lease has expired. */
export const LEASE_EXPIRY_MARGIN_MILLISECONDS = 150
