/**
 * An open connection of a client.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionState } from './connection-state.js'

/** Observes a connection without listening to its data: byte counts are compared when its state is needed. */
export class ClientConnection implements ConnectionState {
  readonly remoteAddress: string
  progressAt: number
  hasBeenServed = false
  /** Requests without a complete response. */
  pendingRequests = 0
  /** Whether further requests are ignored because too many are pending. */
  isRefused = false
  private _current: { readonly request: IncomingMessage, readonly response: ServerResponse } | null = null
  private _transferredBytes = 0
  /** Bytes received when the connection last became idle. */
  private _idleBytes = 0

  constructor (readonly socket: Socket, now: number) {
    this.remoteAddress = socket.remoteAddress ?? ''
    this.progressAt = now
  }

  /** Whether requests are ignored. Of a connection that was closed, Node may still pass on requests that it had received before. */
  get isIgnored (): boolean {
    return this.isRefused || this.socket.destroyed
  }

  get phase (): ConnectionState['phase'] {
    const { _current: current, socket } = this
    if (this.pendingRequests === 0 || current === null) return socket.bytesRead > this._idleBytes ? 'receiving' : 'idle'
    if (socket.writableLength > 0) return 'sending'
    // A body of which as much waits as Node buffers is not read at present, so the client isn't late.
    const isHeldBack = current.request.readableLength >= current.request.readableHighWaterMark
    return current.request.complete || isHeldBack ? 'serving' : 'receiving'
  }

  /** Whether a response to a malformed or late request can be written without corrupting another one, or standing in place of that to a complete request, which may be being carried out. */
  get canRespond (): boolean {
    return this.socket.writable && (this.pendingRequests === 0 || (this.pendingRequests === 1 && this._current?.request.complete === false && !this._current.response.headersSent))
  }

  /** Notes that a request has begun. */
  beginRequest (request: IncomingMessage, response: ServerResponse): void {
    this.pendingRequests += 1
    this._current = { request, response }
  }

  /** Notes that a response is complete. */
  endRequest (now: number): void {
    this.pendingRequests -= 1
    this.hasBeenServed = true
    this.progressAt = now
    if (this.pendingRequests > 0) return
    this._current = null
    this._idleBytes = this.socket.bytesRead
  }

  /** Notes whether bytes have been received or sent since the last call. */
  observe (now: number): void {
    const { bytesRead, bytesWritten, writableLength } = this.socket
    const transferredBytes = bytesRead + bytesWritten - writableLength
    if (transferredBytes === this._transferredBytes) return
    this._transferredBytes = transferredBytes
    this.progressAt = now
  }
}
