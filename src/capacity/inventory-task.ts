/**
 * Keeps the platform's list of VMs.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { Task } from '../supervision/task.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { MachineControl } from './machine-control.js'
import type { MachineError } from './machine-error.js'

/** Time between lists while VMs are being ordered about, in milliseconds: a fraction of the time that a move takes. */
const FAST_POLL_INTERVAL_MILLISECONDS = 400

/** Time between lists otherwise, in milliseconds; each list is priced. */
const SLOW_POLL_INTERVAL_MILLISECONDS = 2_000

/** Limit on one list, in milliseconds. */
const LIST_TIMEOUT_MILLISECONDS = 1_500

/** Lists the VMs again and again, more often while somebody waits for a change. */
export class InventoryTask extends Task {
  override readonly name = 'inventory'
  readonly changed = new Notifier()
  private _virtualMachines = new Map<string, FleetVirtualMachine>()
  private _virtualMachinesByWorker = new Map<string, FleetVirtualMachine>()
  private _listedAt = 0
  private _changesExpectedUntil = 0
  private _isReachable = true

  constructor (private readonly _control: MachineControl, private readonly _clock: Clock, private readonly _log: DecisionLog) {
    super()
  }

  /** Moment (epoch milliseconds) as of which the list holds; 0 before the first. */
  get listedAt (): number {
    return this._listedAt
  }

  /** All VMs. */
  get virtualMachines (): IterableIterator<FleetVirtualMachine> {
    return this._virtualMachines.values()
  }

  /** A VM, or null if the list lacks it. */
  virtualMachine (id: string): FleetVirtualMachine | null {
    return this._virtualMachines.get(id) ?? null
  }

  /** The VM that a worker is a life of, or null. */
  virtualMachineOf (worker: string): FleetVirtualMachine | null {
    return this._virtualMachinesByWorker.get(worker) ?? null
  }

  /** Lists more often for a while. */
  expectChangesUntil (deadline: number): void {
    this._changesExpectedUntil = Math.max(this._changesExpectedUntil, deadline)
    this.changed.notify()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const requestedAt = this._clock.now()
      const result = await this._control.list(requestedAt + LIST_TIMEOUT_MILLISECONDS, signal)
      if (signal.aborted) return
      this._recordReachability(result.isRight(), result.isLeft() ? (result.extract() as MachineError).message : '')
      if (result.isRight()) {
        const machines = result.unsafeCoerce()
        this._virtualMachines = new Map(machines.map(machine => [machine.id, machine]))
        this._virtualMachinesByWorker = new Map(machines.filter(({ worker }) => worker !== '').map(machine => [machine.worker, machine]))
        this._listedAt = requestedAt
        this.changed.notify()
      }
      await this._clock.sleepUntil(requestedAt + FAST_POLL_INTERVAL_MILLISECONDS, signal).catch(() => {})
      while (!signal.aborted && this._clock.now() < requestedAt + SLOW_POLL_INTERVAL_MILLISECONDS && this._changesExpectedUntil < this._clock.now()) {
        await this.changed.wait(this._clock, requestedAt + SLOW_POLL_INTERVAL_MILLISECONDS, signal)
      }
    }
  }

  private _recordReachability (isReachable: boolean, cause: string): void {
    if (this._isReachable === isReachable) return
    this._isReachable = isReachable
    this._log.note(isReachable ? 'dependency regained' : 'dependency lost', { dependency: 'machines', cause, listedAt: this._listedAt })
  }
}
