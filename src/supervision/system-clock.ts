/**
 * Clock of the entry and control daemons.
 */
import { setTimeout as delay } from 'node:timers/promises'
import { Clock } from './clock.js'

/** Longest delay that Node's timers accept, in milliseconds. */
const MAXIMUM_TIMER_MILLISECONDS = 2_147_483_647

/** Reads the system's wall clock and waits with Node's timers. */
export class SystemClock extends Clock {
  override now (): number {
    return Date.now()
  }

  override timeOfDay (): number {
    return Date.now()
  }

  override async sleepUntil (deadline: number, signal?: AbortSignal): Promise<void> {
    const wait = Math.min(Math.max(deadline - Date.now(), 0), MAXIMUM_TIMER_MILLISECONDS)
    await delay(wait, undefined, signal ? { signal } : {})
  }
}
