/**
 * Keeps the platform's list of VMs.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { Task } from '../supervision/task.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { FleetVirtualMachineControl } from './fleet-virtual-machine-control.js'
import type { VirtualMachineError } from './virtual-machine-error.js'

/** Time between lists while VMs are being ordered about, in milliseconds: a fraction of the time that a move takes. */
const BUSY_MILLISECONDS = 400

/** Time between lists otherwise, in milliseconds; each list is priced. */
const IDLE_MILLISECONDS = 2_000

/** Limit on one list, in milliseconds. */
const LIST_TIMEOUT_MILLISECONDS = 1_500

/** Lists the VMs again and again, more often while somebody waits for a change. */
export class InventoryTask extends Task {
  override readonly name = 'inventory'
  readonly changed = new Notifier()
  private _machines = new Map<string, FleetVirtualMachine>()
  private _workers = new Map<string, FleetVirtualMachine>()
  private _listedAt = 0
  private _busyUntil = 0
  private _isReachable = true

  constructor (private readonly _control: FleetVirtualMachineControl, private readonly _clock: Clock, private readonly _log: DecisionLog) {
    super()
  }

  /** Moment (epoch milliseconds) as of which the list holds; 0 before the first. */
  get listedAt (): number {
    return this._listedAt
  }

  /** All VMs. */
  get machines (): IterableIterator<FleetVirtualMachine> {
    return this._machines.values()
  }

  /** A VM, or null if the list lacks it. */
  machine (id: string): FleetVirtualMachine | null {
    return this._machines.get(id) ?? null
  }

  /** The VM that a worker is a life of, or null. */
  machineOf (worker: string): FleetVirtualMachine | null {
    return this._workers.get(worker) ?? null
  }

  /** Lists more often for a while. */
  watchUntil (deadline: number): void {
    this._busyUntil = Math.max(this._busyUntil, deadline)
    this.changed.notify()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const askedAt = this._clock.now()
      const listed = await this._control.list(askedAt + LIST_TIMEOUT_MILLISECONDS, signal)
      if (signal.aborted) return
      this._noteReach(listed.isRight(), listed.isLeft() ? (listed.extract() as VirtualMachineError).message : '')
      if (listed.isRight()) {
        const machines = listed.unsafeCoerce()
        this._machines = new Map(machines.map(machine => [machine.id, machine]))
        this._workers = new Map(machines.filter(({ worker }) => worker !== '').map(machine => [machine.worker, machine]))
        this._listedAt = askedAt
        this.changed.notify()
      }
      await this._clock.sleepUntil(askedAt + BUSY_MILLISECONDS, signal).catch(() => {})
      while (!signal.aborted && this._clock.now() < askedAt + IDLE_MILLISECONDS && this._busyUntil < this._clock.now()) {
        await this.changed.wait(this._clock, askedAt + IDLE_MILLISECONDS, signal)
      }
    }
  }

  private _noteReach (isReachable: boolean, cause: string): void {
    if (this._isReachable === isReachable) return
    this._isReachable = isReachable
    this._log.emit(isReachable ? 'dependency regained' : 'dependency lost', { dependency: 'machines', cause, listedAt: this._listedAt })
  }
}
