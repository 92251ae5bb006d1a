/**
 * The task that owns one connection to an endpoint.
 */
import { finished } from 'node:stream/promises'
import { Left, Right, type Either } from 'purify-ts/Either'
import { Client, type Dispatcher } from 'undici'
import type { SocketAddress } from '../schemas/socket-address.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { Task } from '../supervision/task.js'
import { AttemptFailure } from './attempt-failure.js'
import type { EndpointResponse } from './endpoint-response.js'
import { ENDPOINT_HEADERS } from './endpoint-headers.js'
import type { EndpointRequest } from './endpoint-request.js'
import { RequestBodyError } from './request-body-error.js'

/**
 * How long a connection may stay idle, in milliseconds. Short, because a network device that has dropped
 * an idle connection is noticed only when the next request on it is lost.
 */
const IDLE_TIMEOUT_MILLISECONDS = 4_000

/** Maximum age of a connection in milliseconds. */
const MAXIMUM_AGE_MILLISECONDS = 120_000

/** Time limit for establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000

/** Codes of errors that occur before any byte of the request is sent. */
const UNSENT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED'])

/** A request given to the connection, and the function that delivers its result. */
interface PendingExchange {
  readonly request: EndpointRequest
  readonly resolve: (result: Either<AttemptFailure, EndpointResponse>) => void
}

/**
 * Sends one request at a time; the next starts after the whole response of the previous one. The task ends
 * when the connection is too old, idle for too long, broken or suspected.
 */
export class EndpointConnectionTask extends Task {
  override readonly name = 'endpoint-connection'
  private readonly _client: Client
  private readonly _changed = new Notifier()
  private readonly _openedAt: number
  private _pending: PendingExchange | null = null
  private _isRetired = false
  private _terminationFailure: AttemptFailure | null = null
  private _lastProgressAt: number

  /**
   * @param virtualMachine ID of the endpoint's VM.
   * @param address listen address of the endpoint.
   */
  constructor (readonly virtualMachine: string, address: SocketAddress, private readonly _clock: Clock) {
    super()
    const host = address.host.includes(':') ? `[${address.host}]` : address.host
    this._openedAt = _clock.now()
    this._lastProgressAt = this._openedAt
    this._client = new Client(`http://${host}:${address.port}`, {
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MILLISECONDS
    })
  }

  /** Whether the connection can accept a request. */
  get isIdle (): boolean {
    return this._pending === null && !this._isRetired
  }

  /** The request in progress, or null. */
  get currentRequest (): EndpointRequest | null {
    return this._pending?.request ?? null
  }

  /** When the request in progress last made progress: it was sent, or data of its response arrived. Epoch milliseconds. */
  get lastProgressAt (): number {
    return this._lastProgressAt
  }

  /** Sends a request. The connection must be idle. The caller must read or destroy the response body. */
  exchange (request: EndpointRequest): Promise<Either<AttemptFailure, EndpointResponse>> {
    return new Promise(resolve => {
      this._pending = { request, resolve }
      this._lastProgressAt = this._clock.now()
      this._changed.notify()
    })
  }

  /** Closes the connection as soon as it is idle. */
  retire (): void {
    this._isRetired = true
    this._changed.notify()
  }

  /** Terminates the connection: the endpoint is alive but no longer has the request. */
  terminateAsSilent (): void {
    this._terminate(new AttemptFailure('silent', this.virtualMachine, 'connection went silent'))
  }

  /** Terminates the connection: the endpoint itself does not respond. */
  terminateAsLost (): void {
    this._terminate(new AttemptFailure('lost', this.virtualMachine, 'endpoint stopped answering'))
  }

  override async run (signal: AbortSignal): Promise<void> {
    const retire = (): void => this.retire()
    signal.addEventListener('abort', retire, { once: true })
    while (!this._isRetired || this._pending) {
      if (this._pending) {
        await this._performExchange(this._pending)
        this._pending = null
        if (this._isTooOld()) this._isRetired = true
        continue
      }
      const idleDeadline = this._clock.now() + IDLE_TIMEOUT_MILLISECONDS
      await this._changed.wait(this._clock, idleDeadline)
      if (!this._pending && this._clock.now() >= idleDeadline) this._isRetired = true
    }
    signal.removeEventListener('abort', retire)
    await this._client.destroy()
  }

  private async _performExchange ({ request, resolve }: PendingExchange): Promise<void> {
    try {
      const response = await this._client.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as Record<string, string | string[]>,
        body: request.body,
        signal: request.signal
      })
      this._lastProgressAt = this._clock.now()
      const failure = this._checkResponse(request, response)
      if (failure) {
        if (failure.kind === 'crossed') await this._abandon(response)
        else await response.body.dump()
        resolve(Left(failure))
        return
      }
      response.body.on('data', () => { this._lastProgressAt = this._clock.now() }).pause()
      resolve(Right({ status: response.statusCode, headers: response.headers, body: response.body }))
      await finished(response.body)
    } catch (error) {
      this._isRetired = true
      resolve(Left(this._failureOf(request, error as NodeJS.ErrnoException)))
    }
  }

  /** A response is accepted only if it names the request; a refusal is recognised only by its header. */
  private _checkResponse (request: EndpointRequest, response: Dispatcher.ResponseData): AttemptFailure | null {
    const { headers } = response
    if (headers[ENDPOINT_HEADERS.requestId] !== request.requestId) {
      return new AttemptFailure('crossed', this.virtualMachine, 'answer names another request or none')
    }
    const refusal = headers[ENDPOINT_HEADERS.refused]
    if (refusal === undefined) return null
    return new AttemptFailure('refused', this.virtualMachine, `endpoint refused: ${String(refusal).slice(0, 64)}`)
  }

  /** Closes the connection: after a response to another request, nothing else on it can be trusted. */
  private async _abandon (response: Dispatcher.ResponseData): Promise<void> {
    this._isRetired = true
    response.body.on('error', () => {}).destroy()
    await this._client.destroy()
  }

  private _failureOf (request: EndpointRequest, error: NodeJS.ErrnoException): AttemptFailure {
    if (this._terminationFailure) return this._terminationFailure
    if (UNSENT_ERROR_CODES.has(error.code ?? '')) return new AttemptFailure('not-sent', this.virtualMachine, error.message)
    if (request.signal.aborted) return new AttemptFailure('aborted', this.virtualMachine, 'given up')
    const { body } = request
    if (body !== null && !Buffer.isBuffer(body) && body.errored instanceof RequestBodyError) return new AttemptFailure('aborted', this.virtualMachine, body.errored.message)
    return new AttemptFailure('lost', this.virtualMachine, error.message)
  }

  private _terminate (failure: AttemptFailure): void {
    this._terminationFailure = failure
    this._isRetired = true
    void this._client.destroy(failure)
    this._changed.notify()
  }

  private _isTooOld (): boolean {
    return this._clock.now() >= this._openedAt + MAXIMUM_AGE_MILLISECONDS
  }
}
