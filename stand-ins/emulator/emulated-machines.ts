/**
 * The emulated interface to VMs.
 */
import type { Clock } from '../../src/supervision/clock.js'

/** A VM. */
interface EmulatedMachine {
  readonly id: string
  readonly zone: string
  readonly rack: string
  pool: string
  state: 'up' | 'moving' | 'upkeep' | 'down'
  /** Worker that it is at present; empty while it is none. */
  worker: string
  /** Waves whose maintenance it has had. */
  readonly waves: Set<number>
  /** Highest token used. */
  token: number
}

/** An order as the checker sees it. */
interface MachineOrder {
  readonly machine: string
  readonly holder: string
  readonly token: number
  readonly at: number
}

/** Moves and maintenance, each carried out once, with a fence for each VM. */
export class EmulatedMachines {
  readonly machines = new Map<string, EmulatedMachine>()
  /** Orders that were carried out. */
  readonly orders: MachineOrder[] = []

  /**
   * @param _end ends a VM's worker.
   * @param _begin begins a VM's next worker and tells its id; null for a pool on standby.
   */
  constructor (
    private readonly _clock: Clock, private readonly _end: (machine: EmulatedMachine) => void, private readonly _begin: (machine: EmulatedMachine) => string,
    private readonly _moveMilliseconds: number, private readonly _maintenanceMilliseconds: number
  ) {}

  /** Rows of the list. */
  list (): object {
    const machines = [...this.machines.values()].map(({ id, pool, state, zone, rack, worker }) => ({
      machine: id, pool, state, zone, labels: ['a', rack], capacity: { cpu: 64_000, mem_mb: 131_072 }, ...(worker === '' ? {} : { id: worker })
    }))
    return { machines, next_page_token: null }
  }

  /** Status and body of an order's answer. */
  order (call: 'machine-move' | 'machine-upkeep', body: { machine: string, pool?: string, wave?: number }, holder: string, token: number): { status: number, body: object } {
    const machine = this.machines.get(body.machine)
    if (!machine) return { status: 400, body: {} }
    if (token < machine.token) return { status: 409, body: { reason: 'fence' } }
    machine.token = token
    const isDone = call === 'machine-move' ? machine.pool === body.pool : machine.waves.has(body.wave ?? 0)
    if (isDone) return { status: 200, body: {} }
    if (machine.state !== 'up') return { status: 409, body: { reason: 'busy' } }
    this.orders.push({ machine: machine.id, holder, token, at: this._clock.now() })
    this._end(machine)
    machine.worker = ''
    if (call === 'machine-move') machine.pool = body.pool ?? machine.pool
    else machine.waves.add(body.wave ?? 0)
    machine.state = call === 'machine-move' ? 'moving' : 'upkeep'
    this._return(machine, call === 'machine-move' ? this._moveMilliseconds : this._maintenanceMilliseconds).catch(() => {})
    return { status: 200, body: {} }
  }

  private async _return (machine: EmulatedMachine, milliseconds: number): Promise<void> {
    await this._clock.sleepUntil(this._clock.now() + milliseconds)
    machine.state = 'up'
    machine.worker = this._begin(machine)
  }
}
