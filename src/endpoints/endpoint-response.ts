/**
 * The response of an endpoint.
 */
import type { Readable } from 'node:stream'

/** The body stream emits an error if the response is truncated. */
export interface EndpointResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Readable
}
