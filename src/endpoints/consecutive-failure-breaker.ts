/**
 * A circuit breaker that opens after consecutive failures.
 */
import type { RandomSource } from '../supervision/random-source.js'
import { CircuitBreaker } from './circuit-breaker.js'

/** Number of consecutive failures that opens the breaker. */
const FAILURES_TO_OPEN = 3

/** How long the breaker stays open the first time, before jitter, in milliseconds. */
const OPEN_BASE_MILLISECONDS = 1_000

/** Longest time the breaker stays open, before jitter, in milliseconds. */
const OPEN_CEILING_MILLISECONDS = 30_000

/**
 * Opens after several consecutive failures, for a time that doubles with each further failure and
 * is reduced by a random jitter of up to half. After that time the breaker is half-open: one success
 * closes it, one failure opens it again.
 */
export class ConsecutiveFailureBreaker extends CircuitBreaker {
  private _consecutiveFailures = 0
  private _openUntil = 0

  constructor (private readonly _random: RandomSource) {
    super()
  }

  override isOpen (now: number): boolean {
    return now < this._openUntil
  }

  override isHalfOpen (now: number): boolean {
    return this._consecutiveFailures >= FAILURES_TO_OPEN && !this.isOpen(now)
  }

  override recordSuccess (): void {
    this._consecutiveFailures = 0
    this._openUntil = 0
  }

  override recordFailure (now: number): void {
    this._consecutiveFailures += 1
    if (this._consecutiveFailures < FAILURES_TO_OPEN) return
    const doublings = Math.min(this._consecutiveFailures - FAILURES_TO_OPEN, 10)
    const openMilliseconds = Math.min(OPEN_CEILING_MILLISECONDS, OPEN_BASE_MILLISECONDS * 2 ** doublings)
    this._openUntil = now + openMilliseconds * (0.5 + 0.5 * this._random.next())
  }
}
