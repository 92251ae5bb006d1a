/**
 * A condition that tasks wait for, in place of polling.
 */
import type { Clock } from './clock.js'

/** Wakes every waiter at each `notify`. Keeps no memory: check the condition before waiting. */
export class Notifier {
  private _waiters = new Set<() => void>()

  /** Wakes all that wait now. */
  notify (): void {
    const waiters = this._waiters
    this._waiters = new Set()
    for (const wake of waiters) wake()
  }

  /**
   * Waits for the next `notify`, for `deadline` (epoch milliseconds) or for an abort,
   * whichever comes first. Never rejects: the caller checks its condition again.
   */
  async wait (clock: Clock, deadline: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return
    const timer = new AbortController()
    // A listener taken off again, because `AbortSignal.any` on a signal that lives as long as the process gathers memory.
    const stop = (): void => timer.abort()
    signal?.addEventListener('abort', stop, { once: true })
    await new Promise<void>(resolve => {
      this._waiters.add(resolve)
      timer.signal.addEventListener('abort', () => {
        this._waiters.delete(resolve)
        resolve()
      }, { once: true })
      clock.sleepUntil(deadline, timer.signal).then(resolve, () => {})
    })
    timer.abort()
    signal?.removeEventListener('abort', stop)
  }
}
