/**
 * The answer for the caller.
 */
import type { Readable } from 'node:stream'

/** Status, end-to-end headers and body. */
export interface ServedResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[]>>
  /** The whole body, or a stream that fails if it is cut short. */
  readonly body: Buffer | Readable
}
