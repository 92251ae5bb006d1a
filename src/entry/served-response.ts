/**
 * A response to a caller.
 */
import type { Readable } from 'node:stream'

/** Status, end-to-end headers and body of a response, independent of their encoding. */
export interface ServedResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[]>>
  /** The complete body, or a stream that fails if the body is truncated. */
  readonly body: Buffer | Readable
}
