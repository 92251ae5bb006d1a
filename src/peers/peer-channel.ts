/**
 * JSON-RPC 2.0 over one connection between two peers, either side may call.
 */
import type { TLSSocket } from 'node:tls'
import { JSONRPCClient, JSONRPCServer, JSONRPCServerAndClient } from 'json-rpc-2.0'
import { Left, Right, type Either } from 'purify-ts/Either'
import split from 'split2'
import type * as z from 'zod'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { PeerError } from './peer-error.js'

/** Longest message in bytes; a whole state of the largest fleet foreseen fits. */
const MAXIMUM_MESSAGE_BYTES = 16_777_216

/** Bytes that may wait to be sent; a peer that takes no more is as good as silent. */
const MAXIMUM_UNSENT_BYTES = 33_554_432

/** A call to the other side. */
interface PeerCall<T> {
  readonly method: string
  readonly params: object
  readonly responseSchema: z.ZodType<T>
  /** Epoch milliseconds. */
  readonly deadline: number
}

/** One message a line. What arrives is checked against schemas before anything sees it. */
export class PeerChannel {
  private readonly _rpc: JSONRPCServerAndClient
  private readonly _closed: Promise<void>
  private _heardAt: number
  private _isClosed = false

  /** @param _socket connected, with the handshake done. */
  constructor (private readonly _socket: TLSSocket, private readonly _clock: Clock, private readonly _metrics: Metrics) {
    this._heardAt = _clock.now()
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

  /** Whether the connection has ended. */
  get isClosed (): boolean {
    return this._isClosed
  }

  /** When the other side last sent anything, epoch milliseconds. */
  get heardAt (): number {
    return this._heardAt
  }

  /** Offers a method to the other side. */
  registerMethod<T> (method: string, params: z.ZodType<T>, handle: (params: T) => Promise<object>): void {
    this._rpc.addMethod(method, async (raw: unknown) => {
      const parsed = params.safeParse(raw)
      if (parsed.success) return handle(parsed.data)
      this._metrics.count('peers.invalid_messages')
      throw new Error('parameters don\'t fit the schema')
    })
  }

  /** Calls the other side. */
  async call<T> ({ method, params, responseSchema: schema, deadline }: PeerCall<T>): Promise<Either<PeerError, T>> {
    if (this._isClosed) return Left(new PeerError('closed', 'connection closed'))
    const timeout = Math.max(1, deadline - this._clock.now())
    try {
      const raw: unknown = await this._rpc.timeout(timeout).request(method, params)
      const parsed = schema.safeParse(raw)
      if (parsed.success) return Right(parsed.data)
      this._metrics.count('peers.invalid_messages')
      return Left(new PeerError('invalid', `answer to ${method} doesn't fit its schema`))
    } catch (error) {
      if (this._isClosed) return Left(new PeerError('closed', 'connection closed'))
      const isLate = this._clock.now() >= deadline
      return Left(new PeerError(isLate ? 'silent' : 'failed', (error as Error).message))
    }
  }

  /** Ends the connection. */
  close (): void {
    this._socket.destroy()
  }

  /** Resolves when the connection has ended. */
  async ended (): Promise<void> {
    await this._closed
  }

  private _send (payload: object): void {
    if (this._isClosed || this._socket.destroyed) throw new Error('connection closed')
    if (this._socket.writableLength > MAXIMUM_UNSENT_BYTES) {
      this._socket.destroy()
      throw new Error('peer takes no more')
    }
    const line = `${JSON.stringify(payload)}\n`
    this._metrics.count('peers.bytes', line.length)
    this._socket.write(line)
  }

  private _receive (line: string): void {
    this._heardAt = this._clock.now()
    if (line === '') return
    try {
      void this._rpc.receiveAndSend(JSON.parse(line)).catch(() => {})
    } catch {
      this._metrics.count('peers.invalid_messages')
      this._socket.destroy()
    }
  }
}
