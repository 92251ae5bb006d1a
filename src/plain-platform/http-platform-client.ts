/**
 * A JSON client for the platform's HTTP interface.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import { Agent, request } from 'undici'
import type * as z from 'zod'
import type { SocketAddress } from '../schemas/socket-address.js'
import { PlatformError } from '../state/platform-error.js'

/** Limit on establishing a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000

/** Codes of errors that occur before any byte of the request is sent. */
const UNSENT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** A request with a JSON body and the schema of its response. */
interface JsonCall<T> {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  /** Request body, or null for none. */
  readonly document: object | null
  readonly responseSchema: z.ZodType<T>
  /** Epoch milliseconds by which the response must have arrived. */
  readonly deadline: number
  readonly signal: AbortSignal
}

/** Sends JSON requests and validates responses against their schemas. */
export class HttpPlatformClient {
  private readonly _agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS }, headersTimeout: 0, bodyTimeout: 0 })
  private readonly _origin: string

  constructor (address: SocketAddress) {
    const host = address.host.includes(':') ? `[${address.host}]` : address.host
    this._origin = `http://${host}:${address.port}`
  }

  /** Sends one request and parses its response. */
  async call<T> (call: JsonCall<T>): Promise<Either<PlatformError, T>> {
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
      if (statusCode >= 500) return Left(new PlatformError('unknown', `platform returned status ${statusCode}`))
      if (statusCode >= 400) return Left(new PlatformError('invalid', `platform returned status ${statusCode}: ${text.slice(0, 200)}`))
      return this._parse(call, text)
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException
      return Left(new PlatformError(UNSENT_ERROR_CODES.has(code ?? '') ? 'unreachable' : 'unknown', message))
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this._agent.destroy()
  }

  private _parse<T> (call: JsonCall<T>, text: string): Either<PlatformError, T> {
    try {
      const parsed = call.responseSchema.safeParse(JSON.parse(text))
      if (parsed.success) return Right(parsed.data)
      return Left(new PlatformError('invalid', `platform's response to ${call.path} does not match its schema`))
    } catch {
      return Left(new PlatformError('invalid', `platform's response to ${call.path} is not JSON`))
    }
  }
}
