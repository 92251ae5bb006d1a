/**
 * Reads callers' request bodies up to a size limit.
 */
import { PassThrough, Transform, type Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import { Left, Right, type Either } from 'purify-ts/Either'
import { Refusal } from './refusal.js'

/** Largest body that is buffered in memory, so that a retry can send it again. */
const MAXIMUM_BUFFERED_BYTES = 65_536

/** Buffers small bodies and streams large ones, and enforces the queue's size limit on both. */
export class BodyReader {
  /**
   * Reads the whole body, or enough of it to know that it must be streamed.
   *
   * @param maximumBytes size limit of the queue.
   */
  async read (body: Readable, maximumBytes: number): Promise<Either<Refusal, Buffer | Readable | null>> {
    const chunks: Buffer[] = []
    let size = 0
    const iterator = body[Symbol.asyncIterator]()
    try {
      while (size <= Math.min(MAXIMUM_BUFFERED_BYTES, maximumBytes)) {
        const next = await iterator.next()
        if (next.done) return Right(size === 0 ? null : Buffer.concat(chunks))
        chunks.push(next.value as Buffer)
        size += (next.value as Buffer).length
      }
    } catch {
      return Left(new Refusal('malformed-request', 'not-run', 'the request body was cut short'))
    }
    if (size > maximumBytes) return Left(this._tooLarge(maximumBytes))
    return Right(this._stream(chunks, iterator, maximumBytes))
  }

  private _stream (buffered: Buffer[], remaining: AsyncIterator<Buffer>, maximumBytes: number): Readable {
    const output = new PassThrough()
    const source = async function * (): AsyncGenerator<Buffer> {
      yield * buffered
      for (let next = await remaining.next(); !next.done; next = await remaining.next()) yield next.value
    }
    // An error on either side destroys the output, so that the endpoint sees an aborted request and not a complete but shorter body.
    pipeline(source, this._limitSize(maximumBytes), output).catch(() => {})
    return output
  }

  private _limitSize (maximumBytes: number): Transform {
    let size = 0
    return new Transform({
      transform (chunk: Buffer, _encoding, callback) {
        size += chunk.length
        if (size > maximumBytes) callback(new Error('request body is too large'))
        else callback(null, chunk)
      }
    })
  }

  private _tooLarge (maximumBytes: number): Refusal {
    return new Refusal('body-too-large', 'not-run', `at most ${maximumBytes} bytes are taken`)
  }
}
