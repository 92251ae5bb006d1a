/**
 * An HTTP client for one address.
 */
import { Left, type Either } from 'purify-ts/Either'
import { Pool } from 'undici'
import type { Clock } from '../supervision/clock.js'
import { NEVER_ABORTED } from '../supervision/never-aborted.js'
import type { CallRequest } from './call-request.js'
import type { CallResponse } from './call-response.js'
import { CallClient } from './call-client.js'
import { CallError } from './call-error.js'
import { createResettingConnector } from './create-resetting-connector.js'
import { HttpCall } from './http-call.js'

/** Limit on establishing a connection, in milliseconds; bounds the wait for an address that does not respond. */
const CONNECT_TIMEOUT_MILLISECONDS = 700

/** How long an idle connection is kept, in milliseconds. The platform charges for new connections but not for idle ones. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 60_000

/** Pools keep-alive connections to one address. A call that times out resets its connection, so that its request doesn't arrive later. */
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
      connect: createResettingConnector(CONNECT_TIMEOUT_MILLISECONDS),
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  override call ({ method, path, headers, body, deadline, signal }: CallRequest): Promise<Either<CallError, CallResponse>> {
    if (signal.aborted) return Promise.resolve(Left(new CallError('unsent', 'call was aborted before it was sent')))
    // Listeners cost noticeable processor time, on the shared signal the more the more calls are in progress.
    const isStoppable = signal !== NEVER_ABORTED
    return new Promise(resolve => {
      const call = new HttpCall(result => {
        clearTimeout(timer)
        if (isStoppable) signal.removeEventListener('abort', abort)
        resolve(result)
      }, () => this._clock.now() >= deadline)
      const abort = (): void => call.cancel('call was aborted')
      // Timers run before the sockets are read: a process that was held up reads what has arrived before it gives up.
      const timer = setTimeout(() => setImmediate(() => call.cancel('no response by the deadline')), Math.max(1, deadline - this._clock.now()))
      if (isStoppable) signal.addEventListener('abort', abort, { once: true })
      const isBinary = Buffer.isBuffer(body)
      this._pool.dispatch({
        method,
        path,
        headers: { ...(body && !isBinary ? { 'content-type': 'application/json' } : {}), ...headers },
        body: body === undefined ? null : isBinary ? body : JSON.stringify(body)
      }, call)
    })
  }

  override async close (): Promise<void> {
    await this._pool.destroy()
  }
}
