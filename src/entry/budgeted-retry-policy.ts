/**
 * Retries as a part of traffic.
 */
import type { AttemptFailure } from '../endpoints/attempt-failure.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { RetryPolicy } from './retry-policy.js'

/** Retries that each first attempt earns. */
const EARNED_PER_ATTEMPT = 0.1

/** Most retries saved up. */
const MAXIMUM_SAVED = 10

/** Most attempts at one request that reached an endpoint. */
const MAXIMUM_ATTEMPTS = 4

/** Longest pause before the first retry, in milliseconds. */
const PAUSE_BASE_MILLISECONDS = 25

/** Longest pause before any retry, in milliseconds. */
const PAUSE_CEILING_MILLISECONDS = 1_000

/**
 * Allows a retry for every ten first attempts, so that a failure of all endpoints adds a
 * tenth to the load and not a multiple. Attempts of which no byte left cost the endpoints
 * nothing and don't count against the budget.
 */
export class BudgetedRetryPolicy extends RetryPolicy {
  private _saved = MAXIMUM_SAVED / 2

  constructor (private readonly _clock: Clock, private readonly _random: RandomSource) {
    super()
  }

  override recordFirstAttempt (): void {
    this._saved = Math.min(MAXIMUM_SAVED, this._saved + EARNED_PER_ATTEMPT)
  }

  override mayRetry (failure: AttemptFailure, attempts: number): boolean {
    if (attempts >= MAXIMUM_ATTEMPTS) return false
    if (failure.kind === 'not-sent') return true
    if (this._saved < 1) return false
    this._saved -= 1
    return true
  }

  override backoffDeadline (attempts: number): number {
    const longest = Math.min(PAUSE_CEILING_MILLISECONDS, PAUSE_BASE_MILLISECONDS * 2 ** (attempts - 1))
    return this._clock.now() + Math.ceil(this._random.next() * longest)
  }
}
