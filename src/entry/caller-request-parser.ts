/**
 * Parses callers' HTTP requests.
 */
import type { IncomingMessage } from 'node:http'
import { Left, Right, type Either } from 'purify-ts/Either'
import type { CallerRequest } from './caller-request.js'
import { endToEndHeaders } from './end-to-end-headers.js'
import { Refusal } from './refusal.js'

/** Request target: the queue's name, then the path and query for the endpoint. */
const TARGET_PATTERN = /^\/queues\/([^/?]+)(\/[^?]*)?(\?.*)?$/

/** Headers that aren't forwarded to endpoints: the key, and those that only the system itself may set. */
const UNFORWARDED_HEADERS = new Set([
  'authorization', 'host', 'expect', 'samphireglade-request-id', 'samphireglade-deadline', 'samphireglade-team', 'samphireglade-pool'
])

/** Converts an HTTP request to a protocol-independent `CallerRequest`; it doesn't depend on queues or configuration. */
export class CallerRequestParser {
  /** Parses the request line and headers; the body is passed on unread. */
  parse (message: IncomingMessage, requestId: string): Either<Refusal, CallerRequest> {
    const match = TARGET_PATTERN.exec(message.url ?? '')
    if (!match) return Left(new Refusal('queue-unknown', 'not-run', 'the path must be /queues/{queue}/{path}'))
    return this._bearer(message).map(bearer => ({
      requestId,
      queue: match[1] ?? '',
      method: message.method ?? 'GET',
      path: (match[2] ?? '/') + (match[3] ?? ''),
      headers: endToEndHeaders(message.headers, UNFORWARDED_HEADERS),
      bearer,
      idempotencyKey: this._headerValue(message, 'idempotency-key'),
      deadline: this._headerValue(message, 'samphireglade-deadline'),
      contentLength: this._contentLength(message),
      body: message,
      remoteAddress: message.socket.remoteAddress ?? ''
    }))
  }

  private _bearer (message: IncomingMessage): Either<Refusal, string | null> {
    const { authorization } = message.headers
    if (authorization === undefined) return Right(null)
    const match = /^Bearer +(\S+)$/i.exec(authorization)
    if (match) return Right(match[1] ?? '')
    return Left(new Refusal('key-invalid', 'not-run', 'the Authorization header must be of the form: Bearer KEY'))
  }

  private _headerValue (message: IncomingMessage, name: string): string | null {
    const value = message.headers[name]
    return value === undefined ? null : String(value)
  }

  private _contentLength (message: IncomingMessage): number | null {
    const value = message.headers['content-length']
    return value === undefined ? null : Number(value)
  }
}
