/**
 * Condition variable: lets tasks wait for a change instead of polling.
 */
import type { Clock } from './clock.js'

/** Reason for stopping the timer of a wait. Node would otherwise create an error with a stack trace for each wait. */
const WAIT_OVER = new Error('the wait is over')

/** Wakes all waiters at each `notify`. A notification isn't stored, so check the condition before waiting. */
export class Notifier {
  private _waiters = new Set<() => void>()

  /** Wakes all current waiters. */
  notify (): void {
    const waiters = this._waiters
    this._waiters = new Set()
    for (const wake of waiters) wake()
  }

  /**
   * Waits for the next `notify`, for `deadline` (epoch milliseconds) or for an abort,
   * whichever comes first. Never rejects; the caller checks its condition again.
   */
  async wait (clock: Clock, deadline: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return
    const timer = new AbortController()
    // A listener that is removed afterwards, since `AbortSignal.any` leaks memory on a signal that lives as long as the process.
    const cancelTimer = (): void => timer.abort(WAIT_OVER)
    signal?.addEventListener('abort', cancelTimer, { once: true })
    await new Promise<void>(resolve => {
      this._waiters.add(resolve)
      timer.signal.addEventListener('abort', () => {
        this._waiters.delete(resolve)
        resolve()
      }, { once: true })
      clock.sleepUntil(deadline, timer.signal).then(resolve, () => {})
    })
    timer.abort(WAIT_OVER)
    signal?.removeEventListener('abort', cancelTimer)
  }
}
