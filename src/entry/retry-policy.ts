/**
 * The interface of retry policies.
 */
import type { AttemptFailure } from '../endpoints/attempt-failure.js'

/** Decides whether and when to retry. The dispatcher has already checked that the request may safely be sent again. */
export abstract class RetryPolicy {
  /** Records the first attempt at a request, which may increase a retry budget. */
  abstract recordFirstAttempt (): void

  /**
   * Whether to retry a request.
   *
   * @param failure failure of the latest attempt.
   * @param attempts number of attempts so far.
   */
  abstract mayRetry (failure: AttemptFailure, attempts: number): boolean

  /** Time, in epoch milliseconds, until which to wait before the next attempt. */
  abstract backoffDeadline (attempts: number): number
}
