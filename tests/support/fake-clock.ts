/**
 * Time driven by hand.
 */
import { Clock } from '../../src/supervision/clock.js'

/** A waiter for a moment. */
interface Waiter {
  readonly deadline: number
  readonly wake: () => void
}

/** Stands still until `advance` moves it; waiters wake in the order of their deadlines. */
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
      const leave = (): void => {
        this._waiters = this._waiters.filter(other => other !== waiter)
        reject(signal?.reason)
      }
      const waiter: Waiter = {
        deadline,
        wake: () => {
          signal?.removeEventListener('abort', leave)
          resolve()
        }
      }
      this._waiters.push(waiter)
      signal?.addEventListener('abort', leave, { once: true })
    })
  }

  /** Moves time on, waking each waiter at its own moment and letting it act before the next. */
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

  /** Lets everything that can go on without time passing go on. */
  static async runReadyTasks (): Promise<void> {
    for (let turn = 0; turn < 4; turn++) await new Promise(resolve => setImmediate(resolve))
  }
}
