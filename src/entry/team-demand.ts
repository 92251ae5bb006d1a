/**
 * A team's demand for a pool.
 */

/** One team's demand across the fleet, with its share and limit. */
export interface TeamDemand {
  /** Team, or null for requests on queues that are open to all. */
  readonly team: string | null
  readonly share: number
  /** Upper limit of the team across the fleet; infinite for no team. */
  readonly limit: number
  /** Number of requests running and waiting, by entry process. */
  readonly byMember: ReadonlyMap<string, number>
}
