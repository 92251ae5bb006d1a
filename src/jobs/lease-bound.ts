/**
 * A bound on the leases of a worker.
 */

/** What the journal says of the leases of one incarnation of a worker. */
export interface LeaseBound {
  readonly incarnation: number
  /** Term of the owner that wrote the bound. */
  readonly term: number
  /** Fleet time at which it decided on it. */
  readonly decidedAt: number
  /** Fleet time by which the leases have expired. */
  readonly expiresAt: number
  /** The same in epoch milliseconds, if the bound was decided on when this process first read of it. */
  readonly expiresAtLatest: number
  /** The same two for runs whose start was unsettled, which may have begun on the next incarnation; not earlier than for the others. */
  readonly startsExpireAt: number
  readonly startsExpireAtLatest: number
  /** Address of the worker; empty if unknown. */
  readonly address: string
  /** Whether connections to it were refused. */
  readonly refusesConnections: boolean
  /** Whether another worker has named its address since. */
  readonly hasSuccessor: boolean
}
