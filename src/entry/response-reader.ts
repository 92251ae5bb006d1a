/**
 * Reads endpoint responses, buffering small ones so that truncation is detected before anything is sent to the caller.
 */
import type { Readable } from 'node:stream'
import { Left, Right, type Either } from 'purify-ts/Either'
import type { EndpointResponse } from '../endpoints/endpoint-response.js'
import { endToEndHeaders } from './end-to-end-headers.js'
import type { ServedResponse } from './served-response.js'

/**
 * Largest response that is buffered until it is complete. If it is truncated, the request
 * can still be retried or the failure reported. Larger responses are streamed, and the
 * caller sees a truncated one as a broken connection.
 */
const MAXIMUM_BUFFERED_BYTES = 65_536

/** Headers between the system and the endpoint that aren't forwarded to the caller. */
const INTERNAL_HEADERS = new Set(['samphireglade-running', 'samphireglade-refused'])

/** Buffers small responses and streams large ones. */
export class ResponseReader {
  /** Returns the response to forward, or the error that truncated it. */
  async read (response: EndpointResponse): Promise<Either<Error, ServedResponse>> {
    const headers = endToEndHeaders(response.headers, INTERNAL_HEADERS)
    const { status } = response
    if (!this._isBuffered(response)) return Right({ status, headers, body: response.body })
    try {
      return Right({ status, headers, body: await this._collect(response.body) })
    } catch (error) {
      return Left(error as Error)
    }
  }

  private _isBuffered (response: EndpointResponse): boolean {
    const length = response.headers['content-length']
    if (length === undefined) return response.status === 204 || response.status === 304
    return Number(length) <= MAXIMUM_BUFFERED_BYTES
  }

  private async _collect (body: Readable): Promise<Buffer> {
    const chunks: Buffer[] = []
    for await (const chunk of body) chunks.push(chunk as Buffer)
    return Buffer.concat(chunks)
  }
}
