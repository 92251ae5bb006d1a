/**
 * Demand of a team for a pool.
 */

/** Demand of one team over the whole fleet. */
export interface TeamDemands {
  /** Team, or null for work on queues open to all. */
  readonly team: string | null
  readonly share: number
  /** Most that the team may run in the whole fleet. */
  readonly limit: number
  /** Requests running and waiting at each entry process. */
  readonly byMember: ReadonlyMap<string, number>
}
