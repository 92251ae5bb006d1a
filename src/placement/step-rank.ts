/**
 * What decides on the place of a waiting step in the order of placement.
 */

/** Plain data, so that policies can be tested without jobs. All of it follows from the journal, the configuration and the workers. */
export interface StepRank {
  /** Name of the step, the last criterion, so that every owner has the same order. */
  readonly name: string
  readonly pool: string
  readonly isLasting: boolean
  /** Priority of the queue; 0 is the highest. */
  readonly priority: number
  /** 0: the job can still meet its target; 1: it can't, or it has none; 2: its result can no longer be of use. */
  readonly lateness: 0 | 1 | 2
  /** Usage of its team per unit of share, in quarters of that of the team with the highest usage. */
  readonly usageLevel: number
  /** Estimated work of the job that has not been placed yet, in millicores times milliseconds. */
  readonly work: number
  /** Epoch milliseconds since which the job has waited: its submission, or the due time of its occurrence. */
  readonly requestedAt: number
}
