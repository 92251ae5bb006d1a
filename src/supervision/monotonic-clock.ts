/**
 * Clock that never jumps, for leases and deadlines.
 */
import { Clock } from './clock.js'

/** Longest delay that Node's timers accept, in milliseconds. */
const MAXIMUM_TIMER_MILLISECONDS = 2_147_483_647

/**
 * Adds the monotonic time since the start of the process to the wall-clock time at its start, so that
 * an adjustment of the wall clock neither extends nor shortens leases.
 */
export class MonotonicClock extends Clock {
  private readonly _timeOrigin = Date.now() - performance.now()

  override now (): number {
    return this._timeOrigin + performance.now()
  }

  override timeOfDay (): number {
    return Date.now()
  }

  override sleepUntil (deadline: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.reject(signal.reason)
    return new Promise((resolve, reject) => {
      const onAbort = (): void => {
        clearTimeout(timer)
        reject(signal?.reason)
      }
      const timer = setTimeout(() => {
        signal?.removeEventListener('abort', onAbort)
        resolve()
      }, Math.min(Math.max(Math.ceil(deadline - this.now()), 0), MAXIMUM_TIMER_MILLISECONDS))
      signal?.addEventListener('abort', onAbort, { once: true })
    })
  }
}
