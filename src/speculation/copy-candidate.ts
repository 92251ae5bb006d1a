/**
 * A task that may get a copy.
 */

/** What the decision knows of the task and of its run; all times are epoch milliseconds. */
export interface CopyCandidate {
  /** When the start of the run was confirmed. */
  readonly startedAt: number
  /** Time that a task of the step can be expected to take, in milliseconds. */
  readonly expectedMilliseconds: number
  /** Progress that the worker has reported; 0 and 100 say nothing. */
  readonly progressPercent: number
  /** By when the task has to complete for its job to meet its target, and for its result to be of use; Infinity without a target. */
  readonly onTimeUntil: number
  readonly usefulUntil: number
  /** Processors that a copy would hold. */
  readonly millicores: number
}
