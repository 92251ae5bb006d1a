/**
 * Times after which refused callers should retry.
 */
import type { RandomSource } from '../supervision/random-source.js'

/** Delay after which a request should be retried that was refused because the store or the view is unavailable, in milliseconds. */
const UNAVAILABLE_MILLISECONDS = 1_000

/** The same for a job that was refused because the backlog is full, in milliseconds. */
const FULL_MILLISECONDS = 2_000

/** Bounds on the time until the backlog ahead of a job is worked off, in milliseconds: a shorter one is not worth a call, and the rate may change within a longer one. */
const MINIMUM_MILLISECONDS = 1_000
const MAXIMUM_MILLISECONDS = 10_000

/** Callers that are refused together return spread over half of their delay. */
const JITTER_FRACTION = 0.5

/** Draws the time of each retry, so that callers that are refused together don't retry together. */
export class RetryTimes {
  constructor (private readonly _random: RandomSource) {}

  /** Returns when to retry after a refusal because the store or the view is unavailable, in epoch milliseconds. */
  afterUnavailability (now: number): number {
    return now + this._jitter(UNAVAILABLE_MILLISECONDS)
  }

  /** Returns when to retry after a refusal because the backlog is full, in epoch milliseconds. */
  afterFullBacklog (now: number): number {
    return now + this._jitter(FULL_MILLISECONDS)
  }

  /**
   * Returns when to retry a job that couldn't be served, in epoch milliseconds.
   *
   * @param excessMilliseconds time until the backlog ahead of it is small enough.
   * @param teamFraction how much of the waiting work, relative to the shares, is its team's, from 0 to 1.
   */
  afterUnservable (excessMilliseconds: number, teamFraction: number, now: number): number {
    const delay = Math.min(MAXIMUM_MILLISECONDS, Math.max(MINIMUM_MILLISECONDS, excessMilliseconds))
    return now + this._jitter(delay * (1 + teamFraction))
  }

  private _jitter (milliseconds: number): number {
    return milliseconds * (1 + JITTER_FRACTION * this._random.next())
  }
}
