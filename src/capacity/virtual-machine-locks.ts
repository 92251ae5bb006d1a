/**
 * Decides which work may send orders to a VM, and when.
 */
import type { FleetTime } from '../jobs/fleet-time.js'
import type { JobTable } from '../jobs/job-table.js'
import type { VirtualMachineOrder } from '../jobs/virtual-machine-order.js'
import type { DecisionWriterTask } from '../scheduling/decision-writer-task.js'
import type { Clock } from '../supervision/clock.js'
import type { VirtualMachineCordons } from './virtual-machine-cordons.js'
import type { VirtualMachineMove } from './virtual-machine-move.js'

/** Kind of work that holds a VM's lock. */
type LockHolder = 'wave' | 'move'

/** Margin on top of the minimum time between orders of two owners, in milliseconds: clocks differ, and an earlier order may still have been in flight. */
const HOLDER_CHANGE_MARGIN_MILLISECONDS = 700

/** Age of the store's last confirmation of the term up to which orders are sent, in milliseconds; below the silence after which another process claims the next term. */
const MAXIMUM_CONFIRMATION_AGE_MILLISECONDS = 1_000

/** Time for which the platform may still carry out an order that got no response, in milliseconds: it speaks of seconds. */
const ORDER_DELAY_MILLISECONDS = 15_000

/**
 * Locks on VMs, kept for one term. Within the term, a VM is locked by either a wave or a move. Across terms, a VM gets
 * no orders for some time after the newest order of another owner, so every order is written to the journal before it is sent.
 */
export class VirtualMachineLocks {
  private readonly _holders = new Map<string, LockHolder>()

  /**
   * @param _predecessorLastContactAt epoch milliseconds before which the previous owner wrote its last record.
   * @param _holderChangeMilliseconds minimum time between orders of two owners to one VM.
   * @param cordons cordons of the VMs; a VM that is unlocked has none.
   * @param fleetTime the time in which the journal has orders and what became of them.
   */
  constructor (
    private readonly _jobTable: JobTable, private readonly _writer: DecisionWriterTask, private readonly _term: number, private readonly _predecessorLastContactAt: number,
    private readonly _holderChangeMilliseconds: number, readonly cordons: VirtualMachineCordons, readonly fleetTime: FleetTime, private readonly _clock: Clock
  ) {}

  /** Returns the holder of a VM's lock, or null. */
  holder (virtualMachine: string): LockHolder | null {
    return this._holders.get(virtualMachine) ?? null
  }

  /** Locks a VM. Returns false if another holder has it; acquiring a lock again that `holder` has is allowed. */
  acquire (virtualMachine: string, holder: LockHolder): boolean {
    const currentHolder = this._holders.get(virtualMachine) ?? holder
    if (currentHolder !== holder) return false
    this._holders.set(virtualMachine, holder)
    return true
  }

  /** Unlocks a VM that `holder` has locked, and lets its workers get new tasks again. */
  release (virtualMachine: string, holder: LockHolder): void {
    if (this._holders.get(virtualMachine) !== holder) return
    this._holders.delete(virtualMachine)
    this.cordons.lift(virtualMachine)
  }

  /** Whether the platform may still carry out orders of earlier owners, so that an old list may not show which VMs have got a worker. */
  get mayEarlierOrdersBePending (): boolean {
    return this._clock.now() < this._predecessorLastContactAt + ORDER_DELAY_MILLISECONDS
  }

  /** Whether the newest order to a VM is this term's, or was sent long enough ago. */
  isOrderAllowed (virtualMachine: string): boolean {
    const order = this._jobTable.orders.get(virtualMachine)
    if (!order || order.term === this._term) return true
    const gap = this._holderChangeMilliseconds + HOLDER_CHANGE_MARGIN_MILLISECONDS
    return this._clock.now() > this._sentBefore(order) + gap
  }

  /**
   * Locks the VMs whose moves earlier owners have ordered and the platform may still carry out, and cordons the workers that they had: that may happen at any time until the VM has moved.
   * Returns those moves.
   */
  inheritMoves (): VirtualMachineMove[] {
    const now = this._clock.now()
    const moves: VirtualMachineMove[] = []
    for (const [virtualMachine, order] of this._jobTable.orders) {
      const { term, pool, worker = '' } = order
      if (pool === undefined || term === this._term || now >= this._sentBefore(order) + ORDER_DELAY_MILLISECONDS) continue
      if (this._holders.has(virtualMachine) || !this.acquire(virtualMachine, 'move')) continue
      this.cordons.cordonWorker(virtualMachine, worker)
      moves.push({ virtualMachine, from: '', to: pool, startedAt: now, sentAt: 0, completedAt: 0, isInherited: true, isInFlight: false, uncertainSince: 0, uncertainUntil: 0, areRepeatsOver: false })
    }
    return moves
  }

  /**
   * Writes an order to the journal, then calls `send`, or `skip` if the process was held up so long meanwhile that another may own the journal
   * by now: not every platform refuses orders of an earlier term.
   *
   * @param move what the next owner has to know of a move; empty for maintenance, whose wave has a record of its own.
   */
  recordOrder (virtualMachine: string, move: Pick<VirtualMachineOrder, 'pool' | 'worker'>, send: () => void, skip: () => void): void {
    this._writer.append({ kind: 'order', virtualMachine, term: this._term, at: this.fleetTime.now(), ...move }, () => {
      if (this._writer.isTermConfirmedWithin(MAXIMUM_CONFIRMATION_AGE_MILLISECONDS)) send()
      else skip()
    })
  }

  /** Writes that the newest order to a VM has been refused without any effect, so that no later owner expects it to be carried out. */
  recordRefusal (virtualMachine: string): void {
    this._writer.append({ kind: 'order', virtualMachine, term: this._term, at: this.fleetTime.now() })
  }

  /** Epoch milliseconds by which an order of an earlier owner had been sent. Either proof is enough: the predecessor's last contact, or the time that the order carries. */
  private _sentBefore ({ at }: VirtualMachineOrder): number {
    return Math.min(this._predecessorLastContactAt, this.fleetTime.latestLocal(at))
  }
}
