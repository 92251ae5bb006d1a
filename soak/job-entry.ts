/**
 * A job as observed by its caller.
 */

/** What the responses to the caller's calls show of a job so far. */
export interface JobEntry {
  readonly id: string
  /** Names of the job's tasks. */
  readonly tasks: readonly string[]
  /** Whether the job runs until it is cancelled. */
  readonly isLasting: boolean
  /** Whether the job's first task crashes every worker that starts it. */
  readonly isDeadly: boolean
  /** Epoch milliseconds of the response that accepted the job; Infinity before. */
  acceptedAt: number
  /** Number of submission attempts without a response, or with one that leaves the outcome unknown. */
  unconfirmedAttempts: number
  /** Epoch milliseconds of the response that cancelled the job; Infinity before. */
  cancelledAt: number
  /** Epoch milliseconds at which a cancellation request was sent; Infinity if none was. */
  cancellationSentAt: number
  /** State in the last response. */
  state: string
  /** Epoch milliseconds of that response. */
  stateReadAt: number
}
