/**
 * Reads a caller's HTTP request into plain data.
 */
import type { IncomingMessage } from 'node:http'
import { Left, Right, type Either } from 'purify-ts/Either'
import type { CallerRequest } from './caller-request.js'
import { endToEndHeaders } from './end-to-end-headers.js'
import { Refusal } from './refusal.js'

/** Form of a request's target. */
const TARGET_FORM = /^\/queues\/([^/?]+)(\/[^?]*)?(\?.*)?$/

/** Headers that stay with the system: the key, and what only the system may say to endpoints. */
const KEPT_HERE = new Set([
  'authorization', 'host', 'expect', 'samphireglade-request-id', 'samphireglade-deadline', 'samphireglade-team', 'samphireglade-pool'
])

/** Knows HTTP and nothing of queues. */
export class CallerRequestParser {
  /** Parses the head of a request; its body is handed on unread. */
  parse (message: IncomingMessage, requestId: string): Either<Refusal, CallerRequest> {
    const match = TARGET_FORM.exec(message.url ?? '')
    if (!match) return Left(new Refusal('queue-unknown', 'not-run', 'the path must be /queues/{queue}/{path}'))
    return this._bearer(message).map(bearer => ({
      requestId,
      queue: match[1] ?? '',
      method: message.method ?? 'GET',
      path: (match[2] ?? '/') + (match[3] ?? ''),
      headers: endToEndHeaders(message.headers, KEPT_HERE),
      bearer,
      idempotencyKey: this._single(message, 'idempotency-key'),
      deadline: this._single(message, 'samphireglade-deadline'),
      contentLength: this._contentLength(message),
      body: message
    }))
  }

  private _bearer (message: IncomingMessage): Either<Refusal, string | null> {
    const { authorization } = message.headers
    if (authorization === undefined) return Right(null)
    const match = /^Bearer +(\S+)$/i.exec(authorization)
    if (match) return Right(match[1] ?? '')
    return Left(new Refusal('key-invalid', 'not-run', 'the Authorization header must be of the form: Bearer KEY'))
  }

  private _single (message: IncomingMessage, name: string): string | null {
    const value = message.headers[name]
    return value === undefined ? null : String(value)
  }

  private _contentLength (message: IncomingMessage): number | null {
    const value = message.headers['content-length']
    return value === undefined ? null : Number(value)
  }
}
