/**
 * Emulated control interface of the VMs.
 */
import type { Clock } from '../../src/supervision/clock.js'

/** An emulated VM. */
interface EmulatedVirtualMachine {
  readonly id: string
  readonly zone: string
  readonly rack: string
  pool: string
  state: 'up' | 'moving' | 'upkeep' | 'down'
  /** ID of the worker that runs on the VM; empty if there is none. */
  worker: string
  /** Waves for which the VM has been maintained. */
  readonly completedWaves: Set<number>
  /** Highest fencing token of an order so far. */
  highestToken: number
}

/** An executed order, recorded for checks. */
interface VirtualMachineOrder {
  readonly virtualMachine: string
  readonly holder: string
  readonly token: number
  readonly executedAt: number
}

/**
 * Moves and maintains VMs. A repeated order has no further effect, and each VM refuses orders with a lower fencing token than
 * one already used.
 */
export class EmulatedVirtualMachines {
  readonly byId = new Map<string, EmulatedVirtualMachine>()
  /** Whether an order with a lower fencing token than an earlier one is refused; some platforms don't check. */
  checksFences = true
  /** Orders that were executed. */
  readonly orders: VirtualMachineOrder[] = []
  /** All orders that arrived, including refused ones and those that had no further effect. */
  readonly arrivedOrders: VirtualMachineOrder[] = []
  /** VMs that the next list lacks, as if they had changed their place between two pages. */
  readonly missingInNextList = new Set<string>()
  /** Whether every order is refused without any effect. */
  refusesOrders = false
  /** Number of orders, from the next one on, that get no response and are executed late. */
  lateOrders = 0
  /** Delay of a late order, in milliseconds. */
  lateOrderMilliseconds = 3_000
  /** Waves of which no VM is a member, as far as the platform knows. */
  readonly unknownWaves = new Set<number>()
  /** Rows of another form that each list has beside its own. */
  readonly oddRows: unknown[] = []

  /**
   * @param _stopWorker shuts down the worker on a VM.
   * @param _startWorker starts a new worker on a VM and returns its ID; returns an empty string for a standby pool.
   */
  constructor (
    private readonly _clock: Clock, private readonly _stopWorker: (virtualMachine: EmulatedVirtualMachine) => void, private readonly _startWorker: (virtualMachine: EmulatedVirtualMachine) => string,
    private readonly _moveMilliseconds: number, private readonly _maintenanceMilliseconds: number
  ) {}

  /** Returns the body of the list of VMs. */
  list (): object {
    const listed = [...this.byId.values()].filter(({ id }) => !this.missingInNextList.has(id))
    this.missingInNextList.clear()
    const virtualMachines = listed.map(({ id, pool, state, zone, rack, worker }) => ({
      machine: id, pool, state, zone, labels: ['a', rack], capacity: { cpu: 64_000, mem_mb: 131_072 }, ...(worker === '' ? {} : { id: worker })
    }))
    return { machines: [...virtualMachines, ...this.oddRows], next_page_token: null }
  }

  /** Executes an order and returns the status and body of the response; null if the caller gets none. */
  handleOrder (...order: Parameters<EmulatedVirtualMachines['order']>): { status: number, body: object } | null {
    if (this.lateOrders === 0) return this.order(...order)
    this.lateOrders -= 1
    this._clock.sleepUntil(this._clock.now() + this.lateOrderMilliseconds).then(() => this.order(...order)).catch(() => {})
    return null
  }

  /** Executes an order and returns the status and body of the response. */
  order (call: 'machine-move' | 'machine-upkeep', body: { machine: string, pool?: string, wave?: number }, holder: string, token: number): { status: number, body: object } {
    if (this.refusesOrders) return { status: 503, body: {} }
    const virtualMachine = this.byId.get(body.machine)
    if (!virtualMachine) return { status: 400, body: {} }
    const order = { virtualMachine: virtualMachine.id, holder, token, executedAt: this._clock.now() }
    this.arrivedOrders.push(order)
    if (this.checksFences && token < virtualMachine.highestToken) return { status: 409, body: { reason: 'fence' } }
    virtualMachine.highestToken = Math.max(virtualMachine.highestToken, token)
    const isDone = call === 'machine-move' ? virtualMachine.pool === body.pool : virtualMachine.completedWaves.has(body.wave ?? 0)
    if (isDone) return { status: 200, body: {} }
    if (call === 'machine-upkeep' && this.unknownWaves.has(body.wave ?? 0)) return { status: 409, body: { reason: 'wave' } }
    if (virtualMachine.state !== 'up') return { status: 409, body: { reason: 'busy' } }
    this.orders.push(order)
    this._stopWorker(virtualMachine)
    virtualMachine.worker = ''
    if (call === 'machine-move') virtualMachine.pool = body.pool ?? virtualMachine.pool
    else virtualMachine.completedWaves.add(body.wave ?? 0)
    virtualMachine.state = call === 'machine-move' ? 'moving' : 'upkeep'
    this._finishOperation(virtualMachine, call === 'machine-move' ? this._moveMilliseconds : this._maintenanceMilliseconds).catch(() => {})
    return { status: 200, body: {} }
  }

  private async _finishOperation (virtualMachine: EmulatedVirtualMachine, milliseconds: number): Promise<void> {
    await this._clock.sleepUntil(this._clock.now() + milliseconds)
    virtualMachine.state = 'up'
    virtualMachine.worker = this._startWorker(virtualMachine)
  }
}
