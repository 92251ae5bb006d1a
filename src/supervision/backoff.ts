/**
 * Pauses between attempts, with full jitter.
 */
import type { Clock } from './clock.js'
import type { RandomSource } from './random-source.js'

/** Doubles the longest pause with each failure, and waits a random part of it, so that many callers spread out. */
export class Backoff {
  private _failures = 0

  /**
   * @param base longest pause after the first failure, in milliseconds.
   * @param ceiling longest pause of all, in milliseconds.
   */
  constructor (
    private readonly _clock: Clock,
    private readonly _random: RandomSource,
    private readonly _base: number,
    private readonly _ceiling: number
  ) {}

  /** Starts again from the shortest pause. */
  reset (): void {
    this._failures = 0
  }

  /** Deadline (epoch milliseconds) of the pause after another failure. */
  nextDeadline (): number {
    const longest = Math.min(this._ceiling, this._base * 2 ** Math.min(this._failures, 20))
    this._failures += 1
    return this._clock.now() + Math.ceil(this._random.next() * longest)
  }

  /** Pauses after another failure; ends early without error when `signal` is aborted. */
  async pause (signal: AbortSignal): Promise<void> {
    await this._clock.sleepUntil(this.nextDeadline(), signal).catch(() => {})
  }
}
