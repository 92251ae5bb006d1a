/**
 * The input of grant policies.
 */

/** One team's grants, and the demand for them, as one process sees them. */
export interface GrantPolicyInput {
  readonly team: string
  /** Upper limit in force. */
  readonly limit: number
  /** Units held by all processes, plus one for each running task. */
  readonly granted: number
  /** Units held by this process. */
  readonly held: number
  /** Requests running at this process, and units lent to others. */
  readonly running: number
  /** Requests waiting at this process. */
  readonly waiting: number
  /** Whether the team had work at this process recently. */
  readonly isActive: boolean
  /** Number of entry processes in the state, including this one. */
  readonly members: number
  /** The team's tasks that wait for a worker; each needs one unit. */
  readonly tasksWaiting: number
  /** Units that other processes lack, by process. */
  readonly wantedByOthers: ReadonlyMap<string, number>
}
