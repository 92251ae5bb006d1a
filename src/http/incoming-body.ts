/**
 * A request body that is being read.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import type { BodyRefusal } from './body-refusal.js'
import type { BodyState } from './body-state.js'

/** Smallest buffer for a body of more than one piece. */
const MINIMUM_BUFFER_BYTES = 4_096

/** Collects the pieces in one buffer: many small ones would take far more memory than their bytes. */
export class IncomingBody implements BodyState {
  /** Resolves when the body is complete or has been given up. */
  readonly result: Promise<Either<BodyRefusal, Buffer>>
  private _settle: (result: Either<BodyRefusal, Buffer>) => void = () => {}
  private _buffer: Buffer = Buffer.alloc(0)
  private _length = 0

  constructor (readonly remoteAddress: string, private readonly _maximumBytes: number, public progressAt: number) {
    this.result = new Promise(resolve => { this._settle = resolve })
  }

  get bytes (): number {
    return this._buffer.length
  }

  /** Adds a piece, unless the body would exceed its size limit. The first one isn't copied, since an ordinary body has only one. */
  append (piece: Buffer, now: number): void {
    const length = this._length + piece.length
    if (length > this._maximumBytes) {
      this.refuse('too-large')
      return
    }
    this.progressAt = now
    if (this._length === 0) this._buffer = piece
    else {
      this._reserve(length)
      piece.copy(this._buffer, this._length)
    }
    this._length = length
  }

  /** Notes that the last piece has been received. */
  complete (): void {
    this._settle(Right(this._buffer.subarray(0, this._length)))
  }

  /** Gives the body up and releases its memory. Has no effect on a body that is complete. */
  refuse (reason: BodyRefusal): void {
    this._settle(Left(reason))
    this._buffer = Buffer.alloc(0)
    this._length = 0
  }

  private _reserve (length: number): void {
    if (length <= this._buffer.length) return
    const larger = Buffer.allocUnsafeSlow(Math.max(length, Math.min(this._maximumBytes, Math.max(MINIMUM_BUFFER_BYTES, 2 * length))))
    this._buffer.copy(larger, 0, 0, this._length)
    this._buffer = larger
  }
}
