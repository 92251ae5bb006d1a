/**
 * Fencing of the orders to all workers.
 */
import { OrderFence } from '../leases/order-fence.js'

/** The fences of one term, by worker ID. A worker that is listed again, in whichever incarnation, keeps its own: it may have seen a raised token, and orders from before may reach it. */
export class OrderFences {
  private readonly _fences = new Map<string, OrderFence>()
  /** Epoch milliseconds until which orders to workers that get no more calls may be carried out, by worker ID; in the order of release. */
  private readonly _ordersOverAt = new Map<string, number>()

  /** @param _maximumCallDelayMilliseconds longest time from a call without a response until it may be carried out. */
  constructor (private readonly _term: number, private readonly _maximumCallDelayMilliseconds: number) {}

  /** Returns the fence of a worker. */
  of (worker: string): OrderFence {
    const fence = this._fences.get(worker) ?? new OrderFence(this._term)
    this._fences.set(worker, fence)
    return fence
  }

  /** Returns the epoch milliseconds until which orders of before the worker's last release may be carried out; 0 if there are none. */
  takeOrdersOverAt (worker: string): number {
    const ordersOverAt = this._ordersOverAt.get(worker) ?? 0
    this._ordersOverAt.delete(worker)
    return ordersOverAt
  }

  /** Applies that a worker gets no more calls. Its fence is forgotten once no order to it is on its way any more, unless its token has been raised. */
  release (worker: string, now: number): void {
    this._ordersOverAt.delete(worker)
    this._ordersOverAt.set(worker, now + this._maximumCallDelayMilliseconds)
    for (const [released, ordersOverAt] of this._ordersOverAt) {
      if (ordersOverAt > now) return
      this._ordersOverAt.delete(released)
      if (this._fences.get(released)?.isRaised === false) this._fences.delete(released)
    }
  }
}
