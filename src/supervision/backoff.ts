/**
 * Delays between retries: exponential backoff with full jitter.
 */
import type { Clock } from './clock.js'
import type { RandomSource } from './random-source.js'

/** Doubles the maximum delay with each failure and draws a random fraction of it, so that the retries of many callers spread out. */
export class Backoff {
  private _failures = 0

  /**
   * @param _initialMilliseconds maximum delay after the first failure.
   * @param _maximumMilliseconds upper limit of all delays.
   */
  constructor (
    private readonly _clock: Clock,
    private readonly _random: RandomSource,
    private readonly _initialMilliseconds: number,
    private readonly _maximumMilliseconds: number
  ) {}

  /** Resets the delay after a success. */
  reset (): void {
    this._failures = 0
  }

  /** Counts a failure and returns the time of the next attempt in epoch milliseconds. */
  nextDeadline (): number {
    const maximumDelay = Math.min(this._maximumMilliseconds, this._initialMilliseconds * 2 ** Math.min(this._failures, 20))
    this._failures += 1
    return this._clock.now() + Math.ceil(this._random.next() * maximumDelay)
  }

  /** Counts a failure and waits for the next attempt; returns early, without an error, when `signal` is aborted. */
  async pause (signal: AbortSignal): Promise<void> {
    await this._clock.sleepUntil(this.nextDeadline(), signal).catch(() => {})
  }
}
