/**
 * An HTTP client for one address.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import { Pool } from 'undici'
import type { Clock } from '../supervision/clock.js'
import type { CallRequest } from './call-request.js'
import type { CallResponse } from './call-response.js'
import { CallClient } from './call-client.js'
import { CallError } from './call-error.js'

/** Limit on establishing a connection, in milliseconds; bounds the wait for an address that does not respond. */
const CONNECT_TIMEOUT_MILLISECONDS = 700

/** How long an idle connection is kept, in milliseconds. The platform charges for new connections but not for idle ones. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 60_000

/** Codes of errors that occur before any byte of the request is sent. */
const UNSENT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** Pools keep-alive connections to one address. A call that times out closes its connection. */
export class HttpClient extends CallClient {
  private readonly _pool: Pool

  /**
   * @param address IP address and port.
   * @param maximumConnections maximum number of connections that are open at once.
   */
  constructor (readonly address: string, maximumConnections: number, private readonly _clock: Clock) {
    super()
    this._pool = new Pool(`http://${address}`, {
      connections: maximumConnections,
      connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  override async call (callRequest: CallRequest): Promise<Either<CallError, CallResponse>> {
    const controller = new AbortController()
    const abort = (): void => controller.abort()
    const timer = setTimeout(abort, Math.max(1, callRequest.deadline - this._clock.now()))
    callRequest.signal.addEventListener('abort', abort, { once: true })
    const isBinary = Buffer.isBuffer(callRequest.body)
    try {
      if (callRequest.signal.aborted) return Left(new CallError('unsent', 'call was aborted before it was sent'))
      const { statusCode, body } = await this._pool.request({
        method: callRequest.method,
        path: callRequest.path,
        signal: controller.signal,
        headers: { ...(callRequest.body && !isBinary ? { 'content-type': 'application/json' } : {}), ...callRequest.headers },
        body: callRequest.body === undefined ? null : isBinary ? callRequest.body as Buffer : JSON.stringify(callRequest.body)
      })
      return Right({ status: statusCode, body: Buffer.from(await body.arrayBuffer()) })
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException
      return Left(new CallError(UNSENT_ERROR_CODES.has(code ?? '') ? 'unsent' : 'unknown', message))
    } finally {
      clearTimeout(timer)
      callRequest.signal.removeEventListener('abort', abort)
    }
  }

  override async close (): Promise<void> {
    await this._pool.destroy()
  }
}
