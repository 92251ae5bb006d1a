/**
 * A retry policy with a budget in proportion to traffic.
 */
import type { AttemptFailure } from '../endpoints/attempt-failure.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { RetryPolicy } from './retry-policy.js'

/** Retries that each first attempt adds to the budget. */
const RETRIES_PER_FIRST_ATTEMPT = 0.1

/** Largest number of retries that the budget can hold. */
const MAXIMUM_BUDGETED_RETRIES = 10

/** Limit on the attempts at one request for which an endpoint was chosen. */
const MAXIMUM_ATTEMPTS = 4

/** Maximum backoff before the first retry; it doubles with each further retry. */
const BACKOFF_BASE_MILLISECONDS = 25

/** Maximum backoff before any retry. */
const BACKOFF_CEILING_MILLISECONDS = 1_000

/**
 * Allows one retry for every ten first attempts, so that an outage of all endpoints
 * increases the load by a tenth instead of multiplying it. Retries after an attempt of
 * which no byte was sent don't use the budget, because they put no load on endpoints.
 */
export class BudgetedRetryPolicy extends RetryPolicy {
  private _budget = MAXIMUM_BUDGETED_RETRIES / 2

  constructor (private readonly _clock: Clock, private readonly _random: RandomSource) {
    super()
  }

  override recordFirstAttempt (): void {
    this._budget = Math.min(MAXIMUM_BUDGETED_RETRIES, this._budget + RETRIES_PER_FIRST_ATTEMPT)
  }

  override mayRetry (failure: AttemptFailure, attempts: number): boolean {
    if (attempts >= MAXIMUM_ATTEMPTS) return false
    if (failure.kind === 'not-sent') return true
    if (this._budget < 1) return false
    this._budget -= 1
    return true
  }

  override backoffDeadline (attempts: number): number {
    const maximumBackoff = Math.min(BACKOFF_CEILING_MILLISECONDS, BACKOFF_BASE_MILLISECONDS * 2 ** (attempts - 1))
    return this._clock.now() + Math.ceil(this._random.next() * maximumBackoff)
  }
}
