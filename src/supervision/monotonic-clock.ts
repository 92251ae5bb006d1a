/**
 * A clock that never jumps.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Clock } from './clock.js'

/** Longest delay that Node's timers take, in milliseconds. */
const MAXIMUM_TIMER_MILLISECONDS = 2_147_483_647

/**
 * Counts on from the time of day at the start of the process by the steady clock, so that
 * leases aren't stretched or cut when the time of day is corrected.
 */
export class MonotonicClock extends Clock {
  private readonly _origin = Date.now() - performance.now()

  override now (): number {
    return this._origin + performance.now()
  }

  override timeOfDay (): number {
    return Date.now()
  }

  override async sleepUntil (deadline: number, signal?: AbortSignal): Promise<void> {
    const wait = Math.min(Math.max(deadline - this.now(), 0), MAXIMUM_TIMER_MILLISECONDS)
    await delay(wait, undefined, signal ? { signal } : {})
  }
}
