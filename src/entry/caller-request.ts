/**
 * A caller's request, apart from the protocol that brought it.
 */
import type { Readable } from 'node:stream'

/** What a front end hands over. */
export interface CallerRequest {
  readonly requestId: string
  readonly queue: string
  readonly method: string
  /** Path with query behind the queue's name, beginning with a slash. */
  readonly path: string
  /** End-to-end headers to pass on, names in lower case. */
  readonly headers: Readonly<Record<string, string | string[]>>
  /** Key as the caller showed it, or null. */
  readonly bearer: string | null
  /** Caller's identity of the request, or null. */
  readonly idempotencyKey: string | null
  /** Deadline as the caller wrote it, or null. */
  readonly deadline: string | null
  /** Length of the body in bytes if announced, null if not. */
  readonly contentLength: number | null
  readonly body: Readable
}
