/**
 * A job as its caller knows it.
 */

/** Outcome of each call so far. */
export interface JobEntry {
  readonly id: string
  /** Tasks that the job has. */
  readonly tasks: readonly string[]
  /** Whether it lasts until it is cancelled. */
  readonly isLasting: boolean
  /** Epoch milliseconds of the first answer that accepted it; Infinity before. */
  acceptedAt: number
  /** Attempts without an answer, or with one that leaves the outcome open. */
  openAttempts: number
  /** Epoch milliseconds of the answer that cancelled it; Infinity if nobody did. */
  cancelledAt: number
  /** Whether a cancellation was sent. */
  isCancelSent: boolean
  /** State that was shown last. */
  state: string
  /** Epoch milliseconds at which it was. */
  shownAt: number
}
