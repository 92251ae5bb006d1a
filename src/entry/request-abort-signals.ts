/**
 * When a request is given up.
 */
import type { Clock } from '../supervision/clock.js'

/**
 * Two signals for one request: `waiting` ends its stay in the queue, `running` breaks an
 * attempt off. Both come at the deadline. When the caller leaves, `waiting` comes always
 * and `running` only for work that may be cancelled: a posting that has begun is never
 * broken off because nobody waits for it.
 */
export class GiveUp {
  private readonly _waiting = new AbortController()
  private readonly _running = new AbortController()
  private readonly _timer = new AbortController()
  private readonly _leave: () => void

  /**
   * @param deadline epoch milliseconds.
   * @param _callerGone aborted when the caller leaves.
   * @param isCancellable whether the work may be broken off.
   */
  constructor (clock: Clock, deadline: number, private readonly _callerGone: AbortSignal, isCancellable: boolean) {
    this._leave = () => {
      this._waiting.abort()
      if (isCancellable) this._running.abort()
    }
    _callerGone.addEventListener('abort', this._leave, { once: true })
    if (_callerGone.aborted) this._leave()
    clock.sleepUntil(deadline, this._timer.signal).then(() => this._expire(), () => {})
  }

  /** Ends the stay in the queue. */
  get waiting (): AbortSignal {
    return this._waiting.signal
  }

  /** Breaks an attempt off. */
  get running (): AbortSignal {
    return this._running.signal
  }

  /** Ends the watch without giving anything up; call when the request is over. */
  settle (): void {
    this._timer.abort()
    this._callerGone.removeEventListener('abort', this._leave)
  }

  private _expire (): void {
    this._waiting.abort()
    this._running.abort()
  }
}
