/**
 * The memory that all request bodies of a process may take while they are read.
 */
import type { Clock } from '../supervision/clock.js'
import type { ClientBounds } from './client-bounds.js'
import type { ClientRefusals } from './client-refusals.js'
import type { EvictionPolicy } from './eviction-policy.js'
import type { IncomingBody } from './incoming-body.js'

/** Drops bodies when all of them together exceed the limit, and those without progress. */
export class BodyBudget {
  /** Bodies that are being read, with the bytes counted for each. */
  private readonly _bodies = new Map<IncomingBody, number>()
  private _totalBytes = 0

  constructor (
    private readonly _limits: Pick<ClientBounds, 'maximumTotalBodyBytes' | 'bodyIdleTimeoutMilliseconds'>,
    private readonly _policy: EvictionPolicy, private readonly _refusals: ClientRefusals, private readonly _clock: Clock
  ) {}

  /** Begins to count a body. */
  add (body: IncomingBody): void {
    this._bodies.set(body, 0)
  }

  /** Adds a piece to a body, for which another body or this one may be dropped. */
  append (body: IncomingBody, piece: Buffer): void {
    const now = this._clock.now()
    body.append(piece, now)
    this._totalBytes += body.bytes - (this._bodies.get(body) ?? 0)
    this._bodies.set(body, body.bytes)
    while (this._totalBytes > this._limits.maximumTotalBodyBytes) {
      const dropped = this._policy.chooseBody(this._bodies.keys(), now)
      if (dropped === null) return
      this._refusals.add('body-bytes', dropped.remoteAddress)
      dropped.refuse('dropped')
      this.remove(dropped)
    }
  }

  /** Stops counting a body. */
  remove (body: IncomingBody): void {
    this._totalBytes -= this._bodies.get(body) ?? 0
    this._bodies.delete(body)
  }

  /** Gives up the bodies of which no bytes have been received in time. */
  refuseIdle (now: number): void {
    for (const body of [...this._bodies.keys()]) {
      if (now - body.progressAt < this._limits.bodyIdleTimeoutMilliseconds) continue
      this._refusals.add('slow-body', body.remoteAddress)
      body.refuse('slow')
      this.remove(body)
    }
  }
}
