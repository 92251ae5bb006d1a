/**
 * The answer of an endpoint.
 */
import type { Readable } from 'node:stream'

/** Status and headers, with a body that fails if it is cut short. */
export interface EndpointResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Readable
}
