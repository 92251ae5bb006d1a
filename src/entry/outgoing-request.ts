/**
 * A request to an endpoint that has not been chosen yet.
 */
import type { Readable } from 'node:stream'

/** The caller's request, prepared for dispatch. */
export interface OutgoingRequest {
  readonly method: string
  /** Path and query. */
  readonly path: string
  readonly headers: Readonly<Record<string, string | string[]>>
  /** The buffered body, which can be sent again, a stream, which can't, or null. */
  readonly body: Buffer | Readable | null
  /** Bytes of the body that are held in memory. */
  readonly bufferedBytes: number
}
