/**
 * HTTP calls to one address.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import { Pool } from 'undici'
import type { Clock } from '../supervision/clock.js'
import type { CallRequest } from './call-request.js'
import type { CallResponse } from './call-response.js'
import { CallClient } from './call-client.js'
import { CallError } from './call-error.js'

/** Limit on establishing a connection, in milliseconds; a silent address is given up after it. */
const CONNECT_TIMEOUT_MILLISECONDS = 700

/** How long an idle connection is kept, in milliseconds. New connections are priced, idle ones are not. */
const KEEP_ALIVE_MILLISECONDS = 60_000

/** Errors before any byte of the request was sent. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** Keeps connections to one address alive. A call that times out takes its connection with it. */
export class HttpClient extends CallClient {
  private readonly _pool: Pool

  /**
   * @param address IP number and port.
   * @param connections most connections at once.
   */
  constructor (readonly address: string, connections: number, private readonly _clock: Clock) {
    super()
    this._pool = new Pool(`http://${address}`, {
      connections,
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  override async call (call: CallRequest): Promise<Either<CallError, CallResponse>> {
    const stop = new AbortController()
    const abort = (): void => stop.abort()
    const timer = setTimeout(abort, Math.max(1, call.deadline - this._clock.now()))
    call.signal.addEventListener('abort', abort, { once: true })
    const isBinary = Buffer.isBuffer(call.body)
    try {
      if (call.signal.aborted) return Left(new CallError('unsent', 'stopped'))
      const { statusCode, body } = await this._pool.request({
        method: call.method,
        path: call.path,
        signal: stop.signal,
        headers: { ...(call.body && !isBinary ? { 'content-type': 'application/json' } : {}), ...call.headers },
        body: call.body === undefined ? null : isBinary ? call.body as Buffer : JSON.stringify(call.body)
      })
      return Right({ status: statusCode, body: Buffer.from(await body.arrayBuffer()) })
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException
      return Left(new CallError(UNSENT_CODES.has(code ?? '') ? 'unsent' : 'unknown', message))
    } finally {
      clearTimeout(timer)
      call.signal.removeEventListener('abort', abort)
    }
  }

  override async close (): Promise<void> {
    await this._pool.destroy()
  }
}
