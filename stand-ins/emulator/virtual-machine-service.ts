/**
 * The calls of the emulated control interface of the VMs.
 */
import type { Clock } from '../../src/supervision/clock.js'
import type { EmulatedVirtualMachines } from './emulated-virtual-machines.js'
import { RateLimiter } from './rate-limiter.js'
import type { VirtualMachineFaults } from './virtual-machine-faults.js'

/** Maximum rates of list calls and of orders to VMs, each from all processes together. */
const CALLS_PER_SECOND = 64

/** A response. */
interface Response {
  readonly status: number
  readonly body: object
}

/** Executes calls under rate limits and the current faults. */
export class VirtualMachineService {
  private readonly _listLimiter: RateLimiter
  private readonly _orderLimiter: RateLimiter

  constructor (private readonly _clock: Clock, private readonly _virtualMachines: EmulatedVirtualMachines, private readonly _faults: VirtualMachineFaults) {
    this._listLimiter = new RateLimiter(_clock, CALLS_PER_SECOND)
    this._orderLimiter = new RateLimiter(_clock, CALLS_PER_SECOND)
  }

  /** Executes a call; returns null if the caller gets no response. */
  async handle (call: string, headers: Readonly<Record<string, string>>, body: Buffer): Promise<Response | null> {
    if (call === 'machines') return this._list()
    if (call !== 'machine-move' && call !== 'machine-upkeep') return { status: 404, body: {} }
    if (!this._orderLimiter.tryAcquire()) return { status: 429, body: {} }
    const execute = (): Response => this._virtualMachines.order(call, JSON.parse(body.toString()) as { machine: string }, headers['lease-holder'] ?? '', Number(headers['fencing-token']))
    if (!this._faults.consumeLateOrder()) return execute()
    this._clock.sleepUntil(this._clock.now() + this._faults.lateOrderMilliseconds).then(execute).catch(() => {})
    return null
  }

  private async _list (): Promise<Response | null> {
    if (!this._listLimiter.tryAcquire()) return { status: 429, body: {} }
    if (this._faults.isListAway) return null
    if (this._faults.listRefusalStatus !== 0) return { status: this._faults.listRefusalStatus, body: {} }
    const body = this._virtualMachines.list(this._clock.now() - this._faults.listAgeMilliseconds)
    if (this._faults.listMilliseconds > 0) await this._clock.sleepUntil(this._clock.now() + this._faults.listMilliseconds)
    return { status: 200, body }
  }
}
