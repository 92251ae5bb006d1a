/**
 * Orders that were meant for the former incarnation of a worker.
 */
import { WORKER_CLOCK_RATE } from '../jobs/worker-clock-rate.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import { LEASE_EXPIRY_MARGIN_MILLISECONDS } from './lease-expiry-margin.js'

/**
 * Knows until when the present incarnation of a worker may carry out orders that were meant for the former one, and until when a lease lasts that they have set. Their deadlines are on another clock, for
 * which the worker grants its longest lease, to all of its runs. An incarnation that has answered a call with a higher fencing token carries out none of them any more.
 */
export class FormerOrders {
  /** Epoch milliseconds until which one may be carried out; 0 if there is no former incarnation that matters. */
  private _possibleUntil = 0
  /** Least fencing token whose answer shows that none is carried out any more. */
  private _refusingToken = 0
  /** Epoch milliseconds until which ones of earlier owners may be carried out, of which nothing is known before the first answer; 0 for none. */
  private _suspectedUntil = 0
  /** Epoch milliseconds by which the leases have expired that earlier owners knew of; 0 for none. */
  private _inheritedExpiry = 0
  /** What the journal has of `leaseExpiresAt`. */
  private _recordedExpiry = 0

  constructor (private readonly _limits: Pick<FleetTimings, 'maximumLeaseMilliseconds'>) {}

  /** Epoch milliseconds by which a lease that such an order has set has expired; 0 if there is none. */
  get leaseExpiresAt (): number {
    const ownExpiry = this._possibleUntil === 0 ? 0 : this._possibleUntil + this._limits.maximumLeaseMilliseconds / WORKER_CLOCK_RATE.slowest + LEASE_EXPIRY_MARGIN_MILLISECONDS
    return Math.max(ownExpiry, this._inheritedExpiry)
  }

  /** Returns whether such an order may still be carried out: nothing should start on the worker. */
  arePossible (now: number): boolean {
    return now < this._possibleUntil
  }

  /** Returns whether the journal lacks until when such a lease lasts, as owners after this one have to know. */
  isUnrecorded (now: number): boolean {
    return this.leaseExpiresAt > now && this.leaseExpiresAt !== this._recordedExpiry
  }

  /** Records that the journal has, or is about to have, `leaseExpiresAt`. */
  recorded (): void {
    this._recordedExpiry = this.leaseExpiresAt
  }

  /**
   * Applies the start of an incarnation.
   *
   * @param possibleUntil epoch milliseconds until which orders for the former one may be carried out.
   * @param refusingToken least fencing token whose answer shows that none is carried out any more.
   */
  incarnationStarted (possibleUntil: number, refusingToken: number): void {
    this._possibleUntil = possibleUntil
    this._refusingToken = refusingToken
    this._suspectedUntil = 0
    this._inheritedExpiry = 0
    this._recordedExpiry = 0
  }

  /**
   * Applies what the journal says of the leases of an incarnation of which earlier owners knew.
   *
   * @param expiresAt epoch milliseconds.
   */
  inherit (expiresAt: number): void {
    this._possibleUntil = 0
    this._inheritedExpiry = expiresAt
    this._recordedExpiry = expiresAt
  }

  /**
   * Lets the first answer tell until when such a lease lasts: an earlier owner may have sent orders to a former incarnation that the journal doesn't tell of. Runs of earlier owners weren't placed
   * beside such a lease.
   *
   * @param until epoch milliseconds by which none of them is carried out any more.
   */
  suspect (until: number): void {
    this._suspectedUntil = until
  }

  /** Applies an answer of the worker to a call of this owner. */
  answered (token: number, now: number): void {
    if (this._suspectedUntil > 0) {
      this._possibleUntil = Math.min(now, this._suspectedUntil)
      this._suspectedUntil = 0
    } else if (token >= this._refusingToken) this._possibleUntil = Math.min(this._possibleUntil, now)
  }
}
