/**
 * Reads whole request bodies into memory.
 */
import type { IncomingMessage } from 'node:http'
import { Left, type Either } from 'purify-ts/Either'
import type { Clock } from '../supervision/clock.js'
import type { BodyBudget } from './body-budget.js'
import type { BodyRefusal } from './body-refusal.js'
import type { ClientRefusals } from './client-refusals.js'
import { IncomingBody } from './incoming-body.js'

/** Reads a body within its size limit, the budget of all bodies and the time limits. */
export class RequestBodyReader {
  /** @param _maximumBytes returns the size limit of a body, which may change with the configuration. */
  constructor (private readonly _budget: BodyBudget, private readonly _maximumBytes: () => number, private readonly _refusals: ClientRefusals, private readonly _clock: Clock) {}

  /** Size limit of a body. */
  get maximumBytes (): number {
    return this._maximumBytes()
  }

  /** Returns the whole body, or why it was given up; what remains of it is then not read. */
  async read (request: IncomingMessage): Promise<Either<BodyRefusal, Buffer>> {
    const { maximumBytes } = this
    const remoteAddress = request.socket.remoteAddress ?? ''
    if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
      this._refusals.add('body-size', remoteAddress)
      return Left('too-large')
    }
    const body = new IncomingBody(remoteAddress, maximumBytes, this._clock.now())
    this._budget.add(body)
    const append = (piece: Buffer): void => this._budget.append(body, piece)
    request.on('data', append)
    request.once('end', () => body.complete())
    request.once('error', () => body.refuse('disconnected'))
    request.once('close', () => body.refuse('disconnected'))
    const result = await body.result
    this._budget.remove(body)
    if (result.isRight()) return result
    request.off('data', append)
    request.pause()
    if (result.extract() === 'too-large') this._refusals.add('body-size', remoteAddress)
    return result
  }
}
