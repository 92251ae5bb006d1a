/**
 * A request as it is sent to an endpoint.
 */
import type { Readable } from 'node:stream'

/** Content of one attempt. */
export interface EndpointRequest {
  readonly requestId: string
  readonly method: string
  /** Path with query string. */
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[]>>
  /** The whole body, a stream that can be read only once, or null for none. */
  readonly body: Buffer | Readable | null
  /** Whether the request may be retried on another endpoint if no response arrives. */
  readonly isRepeatable: boolean
  /** Aborts the attempt. */
  readonly signal: AbortSignal
}
