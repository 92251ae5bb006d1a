/**
 * One request as it goes to an endpoint.
 */
import type { Readable } from 'node:stream'

/** Everything that an attempt sends. */
export interface EndpointRequest {
  readonly requestId: string
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[]>>
  /** Whole body, a stream that can be read once, or null. */
  readonly body: Buffer | Readable | null
  /** Whether the request may be sent again elsewhere when no answer comes. */
  readonly isRepeatable: boolean
  /** Aborts the attempt. */
  readonly signal: AbortSignal
}
