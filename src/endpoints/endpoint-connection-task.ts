/**
 * One connection to an endpoint.
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

/**
 * How long a connection may stay idle, in milliseconds. Short, because a path that forgot
 * the connection shows only when a request is lost on it.
 */
const IDLE_MILLISECONDS = 4_000

/** How long a connection is used at all, in milliseconds. */
const MAXIMUM_AGE_MILLISECONDS = 120_000

/** Limit on establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000

/** Errors before any byte of the request was sent. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED'])

/** A request that waits for the connection, and where its result goes. */
interface Order {
  readonly request: EndpointRequest
  readonly resolve: (result: Either<AttemptFailure, EndpointResponse>) => void
}

/**
 * Sends one request after another over its connection, each with its whole answer before
 * the next, until the connection is too old, too long idle, broken or in doubt.
 */
export class EndpointConnectionTask extends Task {
  override readonly name = 'endpoint-connection'
  private readonly _client: Client
  private readonly _ordered = new Notifier()
  private readonly _openedAt: number
  private _order: Order | null = null
  private _isRetired = false
  private _silenceError: AttemptFailure | null = null
  private _progressAt: number

  /**
   * @param virtualMachine id of the endpoint's VM.
   * @param address of the endpoint.
   * @param clock for ages.
   */
  constructor (readonly virtualMachine: string, address: SocketAddress, private readonly _clock: Clock) {
    super()
    const host = address.host.includes(':') ? `[${address.host}]` : address.host
    this._openedAt = _clock.now()
    this._progressAt = this._openedAt
    this._client = new Client(`http://${host}:${address.port}`, {
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MILLISECONDS
    })
  }

  /** Whether the connection can take a request. */
  get isIdle (): boolean {
    return this._order === null && !this._isRetired
  }

  /** The request under way, or null. */
  get current (): EndpointRequest | null {
    return this._order?.request ?? null
  }

  /** When the request under way last moved, epoch milliseconds. */
  get progressAt (): number {
    return this._progressAt
  }

  /** Sends a request. The connection must be idle. The answer's body must be read or destroyed. */
  exchange (request: EndpointRequest): Promise<Either<AttemptFailure, EndpointResponse>> {
    return new Promise(resolve => {
      this._order = { request, resolve }
      this._progressAt = this._clock.now()
      this._ordered.notify()
    })
  }

  /** Closes the connection as soon as it is idle. */
  retire (): void {
    this._isRetired = true
    this._ordered.notify()
  }

  /** Breaks the connection off: the endpoint lives and doesn't know the request any more. */
  declareSilent (): void {
    this._breakOff(new AttemptFailure('silent', this.virtualMachine, 'connection went silent'))
  }

  /** Breaks the connection off: the endpoint itself doesn't answer. */
  declareLost (): void {
    this._breakOff(new AttemptFailure('lost', this.virtualMachine, 'endpoint stopped answering'))
  }

  override async run (signal: AbortSignal): Promise<void> {
    const retire = (): void => this.retire()
    signal.addEventListener('abort', retire, { once: true })
    while (!this._isRetired || this._order) {
      if (this._order) {
        await this._perform(this._order)
        this._order = null
        if (this._isTooOld()) this._isRetired = true
        continue
      }
      const idleDeadline = this._clock.now() + IDLE_MILLISECONDS
      await this._ordered.wait(this._clock, idleDeadline)
      if (!this._order && this._clock.now() >= idleDeadline) this._isRetired = true
    }
    signal.removeEventListener('abort', retire)
    await this._client.destroy()
  }

  private async _perform ({ request, resolve }: Order): Promise<void> {
    try {
      const response = await this._client.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as Record<string, string | string[]>,
        body: request.body,
        signal: request.signal
      })
      this._progressAt = this._clock.now()
      const failure = this._checkAnswer(request, response)
      if (failure) {
        if (failure.kind === 'crossed') await this._abandon(response)
        else await response.body.dump()
        resolve(Left(failure))
        return
      }
      response.body.on('data', () => { this._progressAt = this._clock.now() }).pause()
      resolve(Right({ status: response.statusCode, headers: response.headers, body: response.body }))
      await finished(response.body)
    } catch (error) {
      this._isRetired = true
      resolve(Left(this._failureOf(request, error as NodeJS.ErrnoException)))
    }
  }

  /** An answer counts only if it names the request; a refusal counts only with its header. */
  private _checkAnswer (request: EndpointRequest, response: Dispatcher.ResponseData): AttemptFailure | null {
    const { headers } = response
    if (headers[ENDPOINT_HEADERS.requestId] !== request.requestId) {
      return new AttemptFailure('crossed', this.virtualMachine, 'answer names another request or none')
    }
    const refusal = headers[ENDPOINT_HEADERS.refused]
    if (refusal === undefined) return null
    return new AttemptFailure('refused', this.virtualMachine, `endpoint refused: ${String(refusal).slice(0, 64)}`)
  }

  /** After an answer of another request nothing more on this connection can be trusted. */
  private async _abandon (response: Dispatcher.ResponseData): Promise<void> {
    this._isRetired = true
    response.body.on('error', () => {}).destroy()
    await this._client.destroy()
  }

  private _failureOf (request: EndpointRequest, error: NodeJS.ErrnoException): AttemptFailure {
    if (this._silenceError) return this._silenceError
    if (UNSENT_CODES.has(error.code ?? '')) return new AttemptFailure('not-sent', this.virtualMachine, error.message)
    if (request.signal.aborted) return new AttemptFailure('aborted', this.virtualMachine, 'given up')
    return new AttemptFailure('lost', this.virtualMachine, error.message)
  }

  private _breakOff (failure: AttemptFailure): void {
    this._silenceError = failure
    this._isRetired = true
    void this._client.destroy(failure)
    this._ordered.notify()
  }

  private _isTooOld (): boolean {
    return this._clock.now() >= this._openedAt + MAXIMUM_AGE_MILLISECONDS
  }
}
