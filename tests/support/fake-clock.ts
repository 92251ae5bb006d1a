/**
 * A clock that a test advances by hand.
 */
import { Clock } from '../../src/supervision/clock.js'

/** A pending `sleepUntil` call. */
interface Waiter {
  readonly deadline: number
  readonly wake: () => void
}

/** Stands still until `advance` is called, which wakes waiters in the order of their deadlines. */
export class FakeClock extends Clock {
  private _now: number
  private _waiters: Waiter[] = []

  constructor (now = 1_000_000) {
    super()
    this._now = now
  }

  override now (): number {
    return this._now
  }

  override timeOfDay (): number {
    return this._now
  }

  override sleepUntil (deadline: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.reject(signal.reason)
    if (deadline <= this._now) return new Promise(resolve => setImmediate(resolve))
    return new Promise((resolve, reject) => {
      const onAbort = (): void => {
        this._waiters = this._waiters.filter(other => other !== waiter)
        reject(signal?.reason)
      }
      const waiter: Waiter = {
        deadline,
        wake: () => {
          signal?.removeEventListener('abort', onAbort)
          resolve()
        }
      }
      this._waiters.push(waiter)
      signal?.addEventListener('abort', onAbort, { once: true })
    })
  }

  /** Advances time. Wakes each waiter at its deadline, and runs ready tasks before it wakes the next waiter. */
  async advance (milliseconds: number): Promise<void> {
    const end = this._now + milliseconds
    await FakeClock.runReadyTasks()
    for (;;) {
      const next = this._waiters.filter(waiter => waiter.deadline <= end).sort((left, right) => left.deadline - right.deadline)[0]
      if (!next) break
      this._now = Math.max(this._now, next.deadline)
      this._waiters = this._waiters.filter(waiter => waiter !== next)
      next.wake()
      await FakeClock.runReadyTasks()
    }
    this._now = end
    await FakeClock.runReadyTasks()
  }

  /** Runs tasks that can proceed without time passing. */
  static async runReadyTasks (): Promise<void> {
    for (let round = 0; round < 4; round++) await new Promise(resolve => setImmediate(resolve))
  }
}
