/**
 * Calls to the platform over HTTP.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import { Agent, request } from 'undici'
import type * as z from 'zod'
import type { SocketAddress } from '../schemas/socket-address.js'
import { PlatformError } from '../state/platform-error.js'

/** Limit on establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000

/** Errors before any byte of the request was sent. */
const UNSENT_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** One JSON call. */
interface Call<T> {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  /** Document to send, or null for none. */
  readonly document: object | null
  /** Schema of the answer. */
  readonly answer: z.ZodType<T>
  /** Epoch milliseconds by which the answer must be there. */
  readonly deadline: number
  readonly signal: AbortSignal
}

/** Sends JSON and checks what comes back against a schema. */
export class HttpPlatformClient {
  private readonly _agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS }, headersTimeout: 0, bodyTimeout: 0 })
  private readonly _origin: string

  constructor (address: SocketAddress) {
    const host = address.host.includes(':') ? `[${address.host}]` : address.host
    this._origin = `http://${host}:${address.port}`
  }

  /** Makes one call. */
  async call<T> (call: Call<T>): Promise<Either<PlatformError, T>> {
    const timeout = AbortSignal.timeout(Math.max(1, call.deadline - Date.now()))
    try {
      const { statusCode, body } = await request(this._origin + call.path, {
        method: call.method,
        dispatcher: this._agent,
        signal: AbortSignal.any([call.signal, timeout]),
        headers: call.document ? { 'content-type': 'application/json' } : {},
        body: call.document ? JSON.stringify(call.document) : null
      })
      const text = await body.text()
      if (statusCode >= 500) return Left(new PlatformError('unknown', `platform answered ${statusCode}`))
      if (statusCode >= 400) return Left(new PlatformError('invalid', `platform answered ${statusCode}: ${text.slice(0, 200)}`))
      return this._parse(call, text)
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException
      return Left(new PlatformError(UNSENT_CODES.has(code ?? '') ? 'unreachable' : 'unknown', message))
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private _parse<T> (call: Call<T>, text: string): Either<PlatformError, T> {
    try {
      const parsed = call.answer.safeParse(JSON.parse(text))
      if (parsed.success) return Right(parsed.data)
      return Left(new PlatformError('invalid', `platform's answer to ${call.path} doesn't fit its schema`))
    } catch {
      return Left(new PlatformError('invalid', `platform's answer to ${call.path} is not JSON`))
    }
  }
}
