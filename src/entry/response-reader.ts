/**
 * Reads answers of endpoints so that a cut one is noticed in time.
 */
import type { Readable } from 'node:stream'
import { Left, Right, type Either } from 'purify-ts/Either'
import type { EndpointResponse } from '../endpoints/endpoint-response.js'
import { endToEndHeaders } from './end-to-end-headers.js'
import type { ServedResponse } from './served-response.js'

/**
 * Largest answer, in bytes, that is held back until it is whole. A cut one can then be
 * retried or reported; a larger one streams, and a cut shows as a broken connection.
 */
const HELD_BACK_BYTES = 65_536

/** Headers between the system and the endpoint that the caller doesn't get. */
const DROPPED = new Set(['samphireglade-running', 'samphireglade-refused'])

/** Holds small answers back and streams large ones. */
export class ResponseReader {
  /** The answer to pass on, or the error that cut it short. */
  async read (answer: EndpointResponse): Promise<Either<Error, ServedResponse>> {
    const headers = endToEndHeaders(answer.headers, DROPPED)
    const { status } = answer
    if (!this._isHeldBack(answer)) return Right({ status, headers, body: answer.body })
    try {
      return Right({ status, headers, body: await this._collect(answer.body) })
    } catch (error) {
      return Left(error as Error)
    }
  }

  private _isHeldBack (answer: EndpointResponse): boolean {
    const length = answer.headers['content-length']
    if (length === undefined) return answer.status === 204 || answer.status === 304
    return Number(length) <= HELD_BACK_BYTES
  }

  private async _collect (body: Readable): Promise<Buffer> {
    const chunks: Buffer[] = []
    for await (const chunk of body) chunks.push(chunk as Buffer)
    return Buffer.concat(chunks)
  }
}
