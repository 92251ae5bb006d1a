/**
 * One call in progress over an HTTP connection.
 */
import type { Dispatcher } from 'undici'
import { Left, Right, type Either } from 'purify-ts/Either'
import { CallError } from './call-error.js'
import type { CallResponse } from './call-response.js'

/** Maximum size of a response's body in bytes; the largest, a worker's lists of thousands of runs, have less than one million. */
const MAXIMUM_BODY_BYTES = 8 * 2 ** 20

/**
 * Collects the response of one request. Implements undici's dispatch handler, because the stream and the abort signal that
 * undici's `request` creates for each response cost an owner more processor time than the call itself.
 */
export class HttpCall implements Dispatcher.DispatchHandler {
  private _controller: Dispatcher.DispatchController | null = null
  private _cancellation: CallError | null = null
  private _isSettled = false
  private _status = 0
  private readonly _chunks: Buffer[] = []
  private _size = 0

  /**
   * @param _settle called once with the response, or with an error that says whether the call may have been executed.
   * @param _isExpired returns whether the call's deadline has passed.
   */
  constructor (private readonly _settle: (result: Either<CallError, CallResponse>) => void, private readonly _isExpired: () => boolean) {}

  /** Gives up waiting for the response and closes the connection. */
  cancel (cause: string): void {
    if (this._isSettled) return
    // A request that still waits for a connection is aborted when it gets one, before anything of it is sent.
    const cancellation = new CallError(this._errorKind, cause)
    this._cancellation = cancellation
    this._finish(Left(cancellation))
    this._controller?.abort(cancellation)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    // A process that is held up while the request waits for a connection would send it now, whatever has become of its reasons, before the timer gives it up.
    if (this._isExpired()) this.cancel('not sent by the deadline')
    this._controller = controller
    if (this._cancellation) controller.abort(this._cancellation)
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number): void {
    this._status = status
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._size += chunk.length
    if (this._size > MAXIMUM_BODY_BYTES) return this.cancel(`the response has more than ${MAXIMUM_BODY_BYTES} bytes`)
    this._chunks.push(chunk)
  }

  onResponseEnd (): void {
    const [first] = this._chunks
    this._finish(Right({ status: this._status, body: this._chunks.length === 1 && first ? first : Buffer.concat(this._chunks) }))
  }

  onResponseError (_controller: Dispatcher.DispatchController, error: NodeJS.ErrnoException): void {
    this._finish(Left(new CallError(this._errorKind, error.message, error.code === 'ECONNREFUSED')))
  }

  /** Nothing of a request is sent before `onRequestStart`: not if there is no connection, or if the request can't be encoded. */
  private get _errorKind (): CallError['kind'] {
    return this._controller ? 'unknown' : 'unsent'
  }

  private _finish (result: Either<CallError, CallResponse>): void {
    if (this._isSettled) return
    this._isSettled = true
    this._settle(result)
  }
}
