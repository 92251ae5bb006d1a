/**
 * JSON-RPC 2.0 over one connection between two peers; either side may call the other.
 */
import type { TLSSocket } from 'node:tls'
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0'
import { Left, Right, type Either } from 'purify-ts/Either'
import split from 'split2'
import type * as z from 'zod'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { PeerError } from './peer-error.js'

/** Longest message in bytes; a full snapshot of the largest planned fleet fits. */
const MAXIMUM_MESSAGE_BYTES = 16_777_216

/** Maximum number of bytes that may wait to be sent; beyond it the peer counts as unresponsive and the connection is closed. */
const MAXIMUM_UNSENT_BYTES = 33_554_432

/** A call to the other side. */
interface PeerCall<T> {
  readonly method: string
  readonly params: object
  /** Schema of the response. */
  readonly responseSchema: z.ZodType<T>
  /** Epoch milliseconds. */
  readonly deadline: number
}

/** Sends one message per line, and validates incoming parameters and responses against schemas before they are used. */
export class PeerChannel {
  private readonly _rpc: JSONRPCServerAndClient
  private readonly _closed: Promise<void>
  private _lastContactAt: number
  private _isClosed = false

  /** @param _socket a connected socket whose TLS handshake is complete. */
  constructor (private readonly _socket: TLSSocket, private readonly _clock: Clock, private readonly _metrics: Metrics) {
    this._lastContactAt = _clock.now()
    this._rpc = new JSONRPCServerAndClient(
      new JSONRPCServer({ errorListener: () => {} }),
      new JSONRPCClient(payload => this._send(payload)),
      { errorListener: () => this._metrics.count('peers.invalid_messages') }
    )
    this._closed = new Promise(resolve => _socket.once('close', () => resolve()))
    void this._closed.then(() => {
      this._isClosed = true
      this._rpc.rejectAllPendingRequests('connection closed')
    })
    _socket.on('error', () => _socket.destroy())
    _socket.pipe(split({ maxLength: MAXIMUM_MESSAGE_BYTES }))
      .on('data', (line: string) => this._receive(line))
      .on('error', () => _socket.destroy())
  }

  /** Whether the connection is closed. */
  get isClosed (): boolean {
    return this._isClosed
  }

  /** When the other side last sent anything, epoch milliseconds; before its first message, when the channel was created. */
  get lastContactAt (): number {
    return this._lastContactAt
  }

  /** Registers a method that the other side may call. */
  registerMethod<T> (method: string, params: z.ZodType<T>, handle: (params: T) => Promise<object>): void {
    this._rpc.addMethod(method, async (raw: unknown) => {
      const parsed = params.safeParse(raw)
      if (parsed.success) return handle(parsed.data)
      this._metrics.count('peers.invalid_messages')
      throw new Error('parameters don\'t fit the schema')
    })
  }

  /** Calls a method of the other side. */
  async call<T> ({ method, params, responseSchema: schema, deadline }: PeerCall<T>): Promise<Either<PeerError, T>> {
    if (this._isClosed) return Left(new PeerError('closed', 'connection closed'))
    const timeout = Math.max(1, deadline - this._clock.now())
    try {
      const raw: unknown = await this._rpc.timeout(timeout).request(method, params)
      const parsed = schema.safeParse(raw)
      if (parsed.success) return Right(parsed.data)
      this._metrics.count('peers.invalid_messages')
      return Left(new PeerError('invalid', `response to ${method} doesn't match the schema`))
    } catch (error) {
      if (this._isClosed) return Left(new PeerError('closed', 'connection closed'))
      const isLate = this._clock.now() >= deadline
      return Left(new PeerError(isLate ? 'silent' : 'failed', (error as Error).message))
    }
  }

  /** Closes the connection. */
  close (): void {
    this._socket.destroy()
  }

  /** Resolves when the connection is closed. */
  async waitUntilClosed (): Promise<void> {
    await this._closed
  }

  private _send (payload: object): void {
    if (this._isClosed || this._socket.destroyed) throw new Error('connection closed')
    if (this._socket.writableLength > MAXIMUM_UNSENT_BYTES) {
      this._socket.destroy()
      throw new Error('send buffer full: the peer stopped reading')
    }
    const line = `${JSON.stringify(payload)}\n`
    this._metrics.count('peers.bytes', line.length)
    this._socket.write(line)
  }

  private _receive (line: string): void {
    this._lastContactAt = this._clock.now()
    if (line === '') return
    try {
      void this._rpc.receiveAndSend(JSON.parse(line)).catch(() => {})
    } catch {
      this._metrics.count('peers.invalid_messages')
      this._socket.destroy()
    }
  }
}
