/**
 * Abort signals for a caller's request.
 */
import type { Clock } from '../supervision/clock.js'

/**
 * Two abort signals for one request: `queueSignal` removes it from the queue, `attemptSignal`
 * aborts an attempt at an endpoint. Both are aborted at the deadline. When the caller
 * disconnects, `queueSignal` is always aborted and `attemptSignal` only for cancellable
 * requests: a non-idempotent request that has started must not be interrupted because the
 * caller no longer waits for it.
 */
export class RequestAbortSignals {
  private readonly _queueController = new AbortController()
  private readonly _attemptController = new AbortController()
  private readonly _timerController = new AbortController()
  private readonly _onCallerGone: () => void

  /**
   * @param deadline epoch milliseconds.
   * @param _callerGone aborted when the caller disconnects.
   * @param isCancellable whether a running attempt may be aborted when the caller disconnects.
   */
  constructor (clock: Clock, deadline: number, private readonly _callerGone: AbortSignal, isCancellable: boolean) {
    this._onCallerGone = () => {
      this._queueController.abort()
      if (isCancellable) this._attemptController.abort()
    }
    _callerGone.addEventListener('abort', this._onCallerGone, { once: true })
    if (_callerGone.aborted) this._onCallerGone()
    clock.sleepUntil(deadline, this._timerController.signal).then(() => this._onDeadline(), () => {})
  }

  /** Aborted when the request must leave the queue. */
  get queueSignal (): AbortSignal {
    return this._queueController.signal
  }

  /** Aborted when a running attempt must end. */
  get attemptSignal (): AbortSignal {
    return this._attemptController.signal
  }

  /** Removes the timer and the listener without aborting anything; call when the request has ended. */
  dispose (): void {
    this._timerController.abort()
    this._callerGone.removeEventListener('abort', this._onCallerGone)
  }

  private _onDeadline (): void {
    this._queueController.abort()
    this._attemptController.abort()
  }
}
