/**
 * Polls the platform's list of VMs.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { Task } from '../supervision/task.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { FleetVirtualMachineList } from './fleet-virtual-machine-list.js'
import type { FleetVirtualMachineControl } from './fleet-virtual-machine-control.js'
import type { VirtualMachineError } from './virtual-machine-error.js'
import type { WorkerListings } from './worker-listings.js'

/** Time between two list requests while moves or maintenance are in progress, in milliseconds: a fraction of the time that a move takes. */
const FAST_POLL_INTERVAL_MILLISECONDS = 400

/** Time between two list requests otherwise, in milliseconds; the platform charges for each request. */
const SLOW_POLL_INTERVAL_MILLISECONDS = 2_000

/** Timeout of one list request, in milliseconds. */
const LIST_TIMEOUT_MILLISECONDS = 1_500

/** Number of lists in a row that lack a VM after which it counts as gone: between two pages of a list a VM can change its place. */
const LISTS_UNTIL_GONE = 2

/** Lists the VMs periodically, more often while changes are expected. */
export class InventoryTask extends Task {
  override readonly name = 'inventory'
  readonly changed = new Notifier()
  private readonly _virtualMachines = new Map<string, FleetVirtualMachine>()
  /** Number of lists so far of which all rows could be decoded. */
  private _completeLists = 0
  /** Number of the last list that had each VM, counted as `_completeLists`. */
  private readonly _lastListedIn = new Map<string, number>()
  private _unreadableRows = 0
  private _listedAt = 0
  private _changesExpectedUntil = 0
  private _isReachable = true

  constructor (private readonly _control: FleetVirtualMachineControl, private readonly _listings: WorkerListings, private readonly _clock: Clock, private readonly _log: DecisionLog) {
    super()
  }

  /** Epoch milliseconds at which the newest list was requested; 0 before the first. */
  get listedAt (): number {
    return this._listedAt
  }

  get virtualMachines (): IterableIterator<FleetVirtualMachine> {
    return this._virtualMachines.values()
  }

  /** Returns a VM by ID, or null if it isn't listed. */
  virtualMachineById (id: string): FleetVirtualMachine | null {
    return this._virtualMachines.get(id) ?? null
  }

  /** Whether a VM doesn't exist: the last lists lacked it. */
  isGone (id: string): boolean {
    return this._completeLists - (this._lastListedIn.get(id) ?? 0) >= LISTS_UNTIL_GONE
  }

  /** Lists the VMs more often until `deadline` (epoch milliseconds). */
  expectChangesUntil (deadline: number): void {
    this._changesExpectedUntil = Math.max(this._changesExpectedUntil, deadline)
    this.changed.notify()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const requestedAt = this._clock.now()
      const result = await this._control.list(requestedAt + LIST_TIMEOUT_MILLISECONDS, signal)
      if (signal.aborted) return
      this._recordReachability(result.isRight(), result.isLeft() ? (result.extract() as VirtualMachineError).message : '')
      if (result.isRight()) {
        this._applyList(result.unsafeCoerce(), requestedAt)
        this._listedAt = requestedAt
        this.changed.notify()
      }
      await this._clock.sleepUntil(requestedAt + FAST_POLL_INTERVAL_MILLISECONDS, signal).catch(() => {})
      while (!signal.aborted && this._clock.now() < requestedAt + SLOW_POLL_INTERVAL_MILLISECONDS && this._changesExpectedUntil < this._clock.now()) {
        await this.changed.wait(this._clock, requestedAt + SLOW_POLL_INTERVAL_MILLISECONDS, signal)
      }
    }
  }

  /** Replaces the rows of all VMs in the list, and drops those that are gone. */
  private _applyList ({ virtualMachines, unreadableRows }: FleetVirtualMachineList, requestedAt: number): void {
    if (unreadableRows === 0) this._completeLists += 1
    this._listings.apply(unreadableRows === 0 ? virtualMachines : null, requestedAt, this._clock.now())
    if (unreadableRows !== this._unreadableRows) this._log.emit('unreadable VMs ignored', { rows: unreadableRows, virtualMachines: virtualMachines.length })
    this._unreadableRows = unreadableRows
    for (const virtualMachine of virtualMachines) {
      this._virtualMachines.set(virtualMachine.id, virtualMachine)
      this._lastListedIn.set(virtualMachine.id, this._completeLists)
    }
    for (const id of this._virtualMachines.keys()) {
      if (!this.isGone(id)) continue
      this._virtualMachines.delete(id)
      this._lastListedIn.delete(id)
    }
  }

  private _recordReachability (isReachable: boolean, cause: string): void {
    if (this._isReachable === isReachable) return
    this._isReachable = isReachable
    this._log.emit(isReachable ? 'dependency reachable again' : 'dependency unreachable', { dependency: 'machines', cause, listedAt: this._listedAt })
  }
}
