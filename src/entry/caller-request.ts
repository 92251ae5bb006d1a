/**
 * A caller's request, independent of the protocol it arrived by.
 */
import type { Readable } from 'node:stream'

/** A request as a front end passes it to the request service. */
export interface CallerRequest {
  readonly requestId: string
  readonly queue: string
  readonly method: string
  /** Path and query after the queue's name, beginning with a slash. */
  readonly path: string
  /** End-to-end headers to forward, with names in lower case. */
  readonly headers: Readonly<Record<string, string | string[]>>
  /** Key that the caller sent, not yet verified, or null. */
  readonly bearer: string | null
  /** Idempotency key that the caller sent, or null. */
  readonly idempotencyKey: string | null
  /** Deadline as the caller sent it, not yet parsed, or null. */
  readonly deadline: string | null
  /** Length of the body in bytes if the caller declared it, otherwise null. */
  readonly contentLength: number | null
  readonly body: Readable
  /** Remote address of the connection, for reports. */
  readonly remoteAddress: string
}
