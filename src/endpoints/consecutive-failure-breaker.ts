/**
 * A breaker that opens after failures in a row.
 */
import type { RandomSource } from '../supervision/random-source.js'
import { CircuitBreaker } from './circuit-breaker.js'

/** Failures in a row that open the breaker. */
const FAILURES_TO_OPEN = 3

/** Shortest time for which it stays open, in milliseconds. */
const OPEN_BASE_MILLISECONDS = 1_000

/** Longest time for which it stays open, in milliseconds. */
const OPEN_CEILING_MILLISECONDS = 30_000

/**
 * Opens after some failures in a row, for a time that doubles with each further failure
 * and is spread by jitter. Once the time has passed the endpoint is on trial, and one
 * failure opens the breaker anew.
 */
export class ConsecutiveFailureBreaker extends CircuitBreaker {
  private _failures = 0
  private _openUntil = 0

  constructor (private readonly _random: RandomSource) {
    super()
  }

  override isOpen (now: number): boolean {
    return now < this._openUntil
  }

  override isHalfOpen (now: number): boolean {
    return this._failures >= FAILURES_TO_OPEN && !this.isOpen(now)
  }

  override recordSuccess (): void {
    this._failures = 0
    this._openUntil = 0
  }

  override recordFailure (now: number): void {
    this._failures += 1
    if (this._failures < FAILURES_TO_OPEN) return
    const doublings = Math.min(this._failures - FAILURES_TO_OPEN, 10)
    const longest = Math.min(OPEN_CEILING_MILLISECONDS, OPEN_BASE_MILLISECONDS * 2 ** doublings)
    this._openUntil = now + longest * (0.5 + 0.5 * this._random.next())
  }
}
