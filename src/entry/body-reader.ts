/**
 * Reads callers' request bodies up to a size limit.
 */
import { PassThrough, Transform, type Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import { Left, Right, type Either } from 'purify-ts/Either'
import { RequestBodyError } from '../endpoints/request-body-error.js'
import type { BodyRefusal } from '../http/body-refusal.js'
import type { BodyStart } from '../http/body-start.js'
import type { BodyStartReader } from '../http/body-start-reader.js'
import type { ClientGuard } from '../http/client-guard.js'
import type { Clock } from '../supervision/clock.js'
import type { CallerRequest } from './caller-request.js'
import type { OutgoingRequest } from './outgoing-request.js'
import { Refusal } from './refusal.js'

/**
 * Largest body that is buffered in memory, so that a retry can send it again. The largest body of an ordinary caller fits, so that
 * a caller that stops short of its end occupies no slot of an endpoint.
 */
const MAXIMUM_BUFFERED_BYTES = 262_144

/** Time after which a caller whose body was dropped for others may succeed, in seconds: the bodies that hold the memory are given up within seconds. */
const DROPPED_RETRY_SECONDS = 1

/** Buffers small bodies and streams large ones, and enforces the queue's size limit and the time limits on both. */
export class BodyReader {
  private readonly _starts: BodyStartReader

  constructor (private readonly _guard: ClientGuard, private readonly _clock: Clock) {
    this._starts = _guard.createBodyStartReader()
  }

  /**
   * Reads the whole body, or enough of it to know that it must be streamed.
   *
   * @param maximumBytes size limit of the queue.
   */
  async read ({ body, remoteAddress }: CallerRequest, maximumBytes: number): Promise<Either<Refusal, Pick<OutgoingRequest, 'body' | 'bufferedBytes'>>> {
    const read = await this._starts.read(body, remoteAddress, Math.min(MAXIMUM_BUFFERED_BYTES, maximumBytes))
    if (read.isLeft()) return Left(this._refusalOf(read.extract() as BodyRefusal, maximumBytes))
    const { bytes, isWhole } = read.extract() as BodyStart
    const bufferedBytes = bytes.length
    if (isWhole) return Right({ body: bufferedBytes === 0 ? null : bytes, bufferedBytes })
    if (maximumBytes <= MAXIMUM_BUFFERED_BYTES) return Left(this._refusalOf('too-large', maximumBytes))
    return Right({ body: this._stream(bytes, body, remoteAddress, maximumBytes), bufferedBytes })
  }

  private _stream (start: Buffer, rest: Readable, remoteAddress: string, maximumBytes: number): Readable {
    const output = new PassThrough()
    const pieces = this._piecesInTime(rest, remoteAddress)
    const source = async function * (): AsyncGenerator<Buffer> {
      yield start
      yield * pieces
    }
    // An error on either side destroys the output, so that the endpoint sees an aborted request and not a complete but shorter body.
    pipeline(source, this._limitSize(maximumBytes), output).catch(() => {})
    return output
  }

  /** Passes on the pieces of a body. Throws if the client takes too long for one of them or for all; the time for which they aren't asked for doesn't count. */
  private async * _piecesInTime (rest: Readable, remoteAddress: string): AsyncGenerator<Buffer> {
    const { bodyIdleTimeoutMilliseconds, requestTimeoutMilliseconds } = this._guard.limits
    const iterator = rest[Symbol.asyncIterator]() as AsyncIterator<Buffer>
    let remainingMilliseconds = requestTimeoutMilliseconds
    for (;;) {
      const startedAt = this._clock.now()
      const next = await this._nextBefore(iterator, startedAt + Math.min(bodyIdleTimeoutMilliseconds, remainingMilliseconds))
      if (next === null) {
        this._guard.addRefusal('slow-body', remoteAddress)
        throw new RequestBodyError('the request body was not received in time')
      }
      if (next.done) return
      remainingMilliseconds -= this._clock.now() - startedAt
      yield next.value
    }
  }

  /** Returns the next piece, or null if there was none before the deadline. */
  private async _nextBefore (iterator: AsyncIterator<Buffer>, deadline: number): Promise<IteratorResult<Buffer> | null> {
    const received = new AbortController()
    const timeout = this._clock.sleepUntil(deadline, received.signal).then(() => null, () => null)
    try {
      return await Promise.race([iterator.next(), timeout])
    } catch {
      throw new RequestBodyError('the request body was cut short')
    } finally {
      received.abort()
    }
  }

  private _limitSize (maximumBytes: number): Transform {
    let size = 0
    return new Transform({
      transform (chunk: Buffer, _encoding, callback) {
        size += chunk.length
        if (size > maximumBytes) callback(new RequestBodyError('the request body is too large'))
        else callback(null, chunk)
      }
    })
  }

  private _refusalOf (refusal: BodyRefusal, maximumBytes: number): Refusal {
    switch (refusal) {
      case 'too-large': return new Refusal('body-too-large', 'not-run', `at most ${maximumBytes} bytes are taken`)
      case 'slow': return new Refusal('request-too-slow', 'not-run', 'the request body was not received in time')
      case 'dropped': return new Refusal('too-many-bodies', 'not-run', 'send it again', DROPPED_RETRY_SECONDS)
      case 'disconnected': return new Refusal('malformed-request', 'not-run', 'the request body was cut short')
    }
  }
}
