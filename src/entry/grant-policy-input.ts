/**
 * What the division of an upper limit goes by.
 */

/** One team's grants as one process sees them. */
export interface GrantSituation {
  readonly team: string
  /** Upper limit in force. */
  readonly limit: number
  /** Units held by anyone. */
  readonly granted: number
  /** Units held here. */
  readonly held: number
  /** Requests running here. */
  readonly running: number
  /** Requests waiting here. */
  readonly waiting: number
  /** Whether the team had work here lately. */
  readonly isActive: boolean
  /** Number of living entry processes, this one among them. */
  readonly members: number
  /** Tasks of the team that wait for a worker and need a unit each. */
  readonly tasksWaiting: number
  /** Units that other processes could use, by process. */
  readonly wantedByOthers: ReadonlyMap<string, number>
}
