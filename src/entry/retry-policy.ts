/**
 * Whether a failed attempt is followed by another.
 */
import type { AttemptFailure } from '../endpoints/attempt-failure.js'

/** Decides about retries; the dispatcher has checked that a retry is harmless. */
export abstract class RetryPolicy {
  /** Notes a first attempt, which earns a part of a retry. */
  abstract recordFirstAttempt (): void

  /**
   * Whether to try again.
   *
   * @param failure of the attempt before.
   * @param attempts made so far.
   */
  abstract mayRetry (failure: AttemptFailure, attempts: number): boolean

  /** Deadline (epoch milliseconds) of the pause before the next attempt. */
  abstract backoffDeadline (attempts: number): number
}
