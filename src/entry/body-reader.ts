/**
 * Reads callers' request bodies within bounds.
 */
import { PassThrough, Transform, type Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import { Left, Right, type Either } from 'purify-ts/Either'
import { Refusal } from './refusal.js'

/** Largest body, in bytes, that is held in memory, so that it can be sent again. */
const HELD_BYTES = 65_536

/** Holds small bodies and streams large ones, never more than the queue takes. */
export class BodyReader {
  /**
   * Reads the body, or as much as decides that it must be streamed.
   *
   * @param maximumBytes most that the queue takes.
   */
  async read (body: Readable, maximumBytes: number): Promise<Either<Refusal, Buffer | Readable | null>> {
    const chunks: Buffer[] = []
    let size = 0
    const iterator = body[Symbol.asyncIterator]()
    try {
      while (size <= Math.min(HELD_BYTES, maximumBytes)) {
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

  private _stream (read: Buffer[], rest: AsyncIterator<Buffer>, maximumBytes: number): Readable {
    const output = new PassThrough()
    const source = async function * (): AsyncGenerator<Buffer> {
      yield * read
      for (let next = await rest.next(); !next.done; next = await rest.next()) yield next.value
    }
    // An error on either side destroys the output, so that the endpoint sees a cut body and not a short one.
    pipeline(source, this._bound(maximumBytes), output).catch(() => {})
    return output
  }

  private _bound (maximumBytes: number): Transform {
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
