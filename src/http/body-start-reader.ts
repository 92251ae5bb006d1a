/**
 * Reads the beginnings of request bodies that may be too large for memory.
 */
import type { Readable } from 'node:stream'
import type { Either } from 'purify-ts/Either'
import type { Clock } from '../supervision/clock.js'
import type { BodyBudget } from './body-budget.js'
import type { BodyRefusal } from './body-refusal.js'
import type { BodyStart } from './body-start.js'
import type { ClientBounds } from './client-bounds.js'
import type { ClientRefusals } from './client-refusals.js'
import { IncomingBody } from './incoming-body.js'

/** Reads a body up to a size, within the budget of all bodies and the time limits. */
export class BodyStartReader {
  constructor (
    private readonly _budget: BodyBudget, private readonly _limits: Pick<ClientBounds, 'requestTimeoutMilliseconds'>,
    private readonly _refusals: ClientRefusals, private readonly _clock: Clock
  ) {}

  /**
   * Returns the whole body if it has at most `maximumBytes`, otherwise what fits; the rest stays in the stream, which is then paused.
   * After a refusal nothing more is read.
   */
  async read (stream: Readable, remoteAddress: string, maximumBytes: number): Promise<Either<BodyRefusal, BodyStart>> {
    const deadline = this._clock.now() + this._limits.requestTimeoutMilliseconds
    const body = new IncomingBody(remoteAddress, maximumBytes, this._clock.now())
    let length = 0
    let isWhole = true
    const stopReading = (): void => { stream.off('data', append).pause() }
    const append = (piece: Buffer): void => {
      if (this._clock.now() >= deadline) {
        this._refusals.add('slow-body', remoteAddress)
        body.refuse('slow')
      } else if (length + piece.length > maximumBytes) {
        isWhole = false
        stopReading()
        stream.unshift(piece)
        body.complete()
      } else {
        length += piece.length
        this._budget.append(body, piece)
      }
    }
    this._budget.add(body)
    stream.on('data', append)
    stream.once('end', () => body.complete())
    stream.once('error', () => body.refuse('disconnected'))
    stream.once('close', () => body.refuse('disconnected'))
    const result = await body.result
    this._budget.remove(body)
    if (result.isLeft()) stopReading()
    return result.map(bytes => ({ bytes, isWhole }))
  }
}
