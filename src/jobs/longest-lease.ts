/**
 * A lease that is longer than owners asked for.
 */

/** What the journal says of such leases of one incarnation of a worker. */
export interface LongestLease {
  readonly incarnation: number
  /** Fleet time at which the owner decided to write it. */
  readonly decidedAt: number
  /** Fleet time by which the leases have expired. */
  readonly expiresAt: number
  /** The same in epoch milliseconds, if it was decided on when this process first read of it. */
  readonly expiresAtLatest: number
}
