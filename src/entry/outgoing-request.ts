/**
 * What is sent to an endpoint, whichever one it will be.
 */
import type { Readable } from 'node:stream'

/** The caller's request as prepared for dispatch. */
export interface OutgoingRequest {
  readonly method: string
  /** Path with query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[]>>
  /** Whole body, which can be sent again, or a stream, which cannot. */
  readonly body: Buffer | Readable | null
}
