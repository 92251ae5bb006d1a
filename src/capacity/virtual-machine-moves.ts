/**
 * Carries out moves of VMs between pools.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import type { Clock } from '../supervision/clock.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { FleetVirtualMachineControl } from './fleet-virtual-machine-control.js'
import type { InventoryTask } from './inventory-task.js'
import { LIST_LAG_ALLOWANCE_MILLISECONDS } from './list-lag-allowance.js'
import type { VirtualMachineError } from './virtual-machine-error.js'
import type { VirtualMachineLocks } from './virtual-machine-locks.js'
import type { VirtualMachineMove } from './virtual-machine-move.js'

/** Time for which lists are requested more often after a step of a move, in milliseconds: until the next round of pool sizing. */
const EXPECTED_CHANGE_MILLISECONDS = 150

/** Timeout of one order, in milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 1_500

/** Delay before an order that wasn't carried out, or not for certain, is sent again, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 500

/** Time after which a move whose VM doesn't appear in its pool, or has got tasks again, is abandoned, in milliseconds: the platform carries orders out some seconds late at most. */
const MOVE_TIMEOUT_MILLISECONDS = 15_000

/** Time for which an order is repeated whose outcome stays unknown, in milliseconds: each repetition may be carried out late as well, so that its VM has to wait for longer. */
const REPEAT_TIMEOUT_MILLISECONDS = 10_000

/** Time after which a VM whose worker still has tasks stays where it is, in milliseconds: until then it counts for the pool that waits for it. */
const EMPTYING_TIMEOUT_MILLISECONDS = 5_000

/** What the moves of a term belong to. */
interface MoveTerm {
  readonly number: number
  readonly timings: FleetTimings
  /** Called when the platform refuses an order because another owner has ordered the VM. */
  readonly onFenced: (cause: string) => void
  /** Whether the views that orders depend on are current. */
  readonly isViewCurrent: () => boolean
}

/** The moves in progress. A VM that is being moved gets no tasks; its order is sent once its worker has none. */
export class VirtualMachineMoves {
  private readonly _moves = new Map<string, VirtualMachineMove>()
  /** Moves that the platform can't carry out, as `VM POOL`. */
  private readonly _rejectedMoves = new Set<string>()
  /** Epoch milliseconds before which a VM of which the platform has refused the move for now isn't moved, by VM. */
  private readonly _postponedUntil = new Map<string, number>()

  constructor (
    private readonly _control: FleetVirtualMachineControl, private readonly _inventory: InventoryTask, private readonly _locks: VirtualMachineLocks, private readonly _term: MoveTerm,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {}

  /** The moves, by VM. */
  get inProgress (): ReadonlyMap<string, VirtualMachineMove> {
    return this._moves
  }

  /** Takes over the moves that earlier owners have ordered and the platform may still carry out. */
  inherit (): void {
    for (const move of this._locks.inheritMoves()) {
      this._moves.set(move.virtualMachine, move)
      this._log.emit('move inherited', { virtualMachine: move.virtualMachine, to: move.to, term: this._term.number })
    }
  }

  /** Whether the platform has refused a move for good, or for now. */
  isRefused ({ id }: FleetVirtualMachine, to: string): boolean {
    return this._rejectedMoves.has(`${id} ${to}`) || (this._postponedUntil.get(id) ?? 0) > this._clock.now()
  }

  /** Begins a move: the VM's worker gets no more tasks, and the order is sent once it has none. */
  start (candidate: FleetVirtualMachine, to: string, now: number, signal: AbortSignal): void {
    if (!this._locks.acquire(candidate.id, 'move')) return
    this._locks.cordons.cordon(candidate.id)
    const move: VirtualMachineMove = { virtualMachine: candidate.id, from: candidate.pool, to, startedAt: now, sentAt: 0, completedAt: 0, isInherited: false, isInFlight: false, uncertainSince: 0, uncertainUntil: 0, areRepeatsOver: false }
    this._moves.set(candidate.id, move)
    this._metrics.count('capacity.moves', 1, to)
    this._advance(move, now, signal)
  }

  /** Takes all moves one step further. */
  advance (now: number, signal: AbortSignal): void {
    for (const move of [...this._moves.values()]) this._advance(move, now, signal)
  }

  /** Sends the order, retries it if necessary, and finishes the move when the list shows the VM in its new pool. */
  private _advance (move: VirtualMachineMove, now: number, signal: AbortSignal): void {
    this._inventory.expectChangesUntil(now + EXPECTED_CHANGE_MILLISECONDS)
    if (move.completedAt > 0) {
      const listed = this._inventory.virtualMachineById(move.virtualMachine)
      const hasArrived = listed?.state === 'up' && this._inventory.listedAt > move.completedAt + this._term.timings.moveMilliseconds + LIST_LAG_ALLOWANCE_MILLISECONDS
      if (hasArrived || now > Math.max(move.startedAt, move.completedAt) + MOVE_TIMEOUT_MILLISECONDS) this._finish(move, hasArrived ? 'in its pool' : 'not seen again')
      return
    }
    if (move.isInherited && !this._isRepeatDue(move, now)) return
    const isEvacuated = this._isEvacuated(move)
    if (move.isInFlight || now < move.sentAt + RETRY_DELAY_MILLISECONDS || (move.uncertainSince > 0 && this._isRepeatExcluded(move, now))) return
    if (!isEvacuated) {
      const isNeverSent = move.sentAt === 0 && !move.isInherited
      if (now > (isNeverSent ? move.startedAt + EMPTYING_TIMEOUT_MILLISECONDS : Math.max(move.startedAt, move.sentAt) + MOVE_TIMEOUT_MILLISECONDS)) {
        this._postponedUntil.set(move.virtualMachine, now + EMPTYING_TIMEOUT_MILLISECONDS)
        this._finish(move, 'in use')
      }
      return
    }
    move.isInFlight = true
    move.sentAt = now
    const worker = this._inventory.virtualMachineById(move.virtualMachine)?.worker ?? ''
    this._locks.recordOrder(move.virtualMachine, { pool: move.to, worker }, () => this._send(move, signal), () => {
      move.isInFlight = false
      this._log.emit('order postponed', { virtualMachine: move.virtualMachine, term: this._term.number, cause: 'the store has not confirmed the term recently' })
    })
  }

  /**
   * Returns whether to order an inherited move. The order ends the uncertainty: from then on the platform refuses the earlier one, or it has no effect. Before that a list may show that the
   * earlier one has been carried out.
   */
  private _isRepeatDue (move: VirtualMachineMove, now: number): boolean {
    if (move.sentAt > 0) return true
    const listed = this._inventory.virtualMachineById(move.virtualMachine)
    if (listed?.pool === move.to) {
      if (listed.state === 'up') this._finish(move, 'in its pool')
      else move.completedAt = now
      return false
    }
    if (now > move.startedAt + MOVE_TIMEOUT_MILLISECONDS) {
      this._finish(move, 'not carried out')
      return false
    }
    this._locks.cordons.cordon(move.virtualMachine)
    return listed !== null && this._term.isViewCurrent() && this._locks.isOrderAllowed(move.virtualMachine)
  }

  /** Finishes a move with an order whose outcome is unknown once a list shows that it was carried out, or it can't be any more. Returns whether the order isn't to be repeated. */
  private _isRepeatExcluded (move: VirtualMachineMove, now: number): boolean {
    const { virtualMachine, to, uncertainSince, uncertainUntil } = move
    const listed = this._inventory.virtualMachineById(virtualMachine)
    if (listed?.pool === to && listed.state === 'up' && this._inventory.listedAt > uncertainSince + LIST_LAG_ALLOWANCE_MILLISECONDS) {
      this._finish(move, 'in its pool')
      return true
    }
    if (now < uncertainSince + REPEAT_TIMEOUT_MILLISECONDS) return false
    if (!move.areRepeatsOver) this._log.emit('move not repeated', { virtualMachine, to, term: this._term.number, milliseconds: Math.round(now - uncertainSince), cause: 'the outcome of its order stays unknown' })
    move.areRepeatsOver = true
    if (now >= uncertainUntil) {
      this._postponedUntil.set(virtualMachine, now + MOVE_TIMEOUT_MILLISECONDS)
      this._finish(move, 'outcome unknown')
    }
    return true
  }

  /** Cordons the VM's worker, unless the VM is in its new pool already: then a repeated order has no effect. Returns whether an order ends no run. */
  private _isEvacuated ({ virtualMachine, to, sentAt }: VirtualMachineMove): boolean {
    if (this._inventory.virtualMachineById(virtualMachine)?.pool === to) return true
    return sentAt === 0 ? this._locks.cordons.cordon(virtualMachine) : this._locks.cordons.isEvacuated(virtualMachine)
  }

  private _send (move: VirtualMachineMove, signal: AbortSignal): void {
    this._control.move(move.virtualMachine, move.to, this._term.number, this._clock.now() + ORDER_TIMEOUT_MILLISECONDS, signal)
      .then(response => this._handleResponse(move, response.isRight() ? null : response.extract() as VirtualMachineError))
      .catch((error: Error) => this._handleResponse(move, error as VirtualMachineError))
  }

  private _handleResponse (move: VirtualMachineMove, error: VirtualMachineError | null): void {
    move.isInFlight = false
    this._log.emit('move ordered', { virtualMachine: move.virtualMachine, from: move.from, to: move.to, term: this._term.number, outcome: error?.kind ?? 'done', detail: error?.message ?? '' })
    if (!error) {
      move.completedAt = this._clock.now()
      return
    }
    if (error.kind === 'fenced') return this._term.onFenced(`VM ${move.virtualMachine}: ${error.message}`)
    if (error.kind === 'unknown') {
      move.uncertainSince = move.uncertainSince || move.sentAt
      move.uncertainUntil = this._clock.now() + MOVE_TIMEOUT_MILLISECONDS
    }
    const mayComeLate = move.uncertainSince > 0 || (move.isInherited && this._clock.now() < move.startedAt + MOVE_TIMEOUT_MILLISECONDS)
    if (!mayComeLate) this._locks.recordRefusal(move.virtualMachine)
    if (error.kind === 'missing') this._rejectedMoves.add(`${move.virtualMachine} ${move.to}`)
    // A VM that is busy now may have another state when an earlier order is carried out.
    if (error.kind === 'missing' || (error.kind === 'busy' && move.uncertainSince === 0)) return this._finish(move, error.kind)
    if (mayComeLate) return
    // Nothing was done: the pool has the VM until the next attempt, for which it may not be the right one any more.
    this._postponedUntil.set(move.virtualMachine, this._clock.now() + RETRY_DELAY_MILLISECONDS)
    this._finish(move, error.kind)
  }

  private _finish (move: VirtualMachineMove, result: string): void {
    this._moves.delete(move.virtualMachine)
    // An earlier order may still be carried out: it has no effect while the VM stays in the pool to which it moves it.
    if (move.uncertainUntil > this._clock.now()) this._postponedUntil.set(move.virtualMachine, move.uncertainUntil)
    this._locks.release(move.virtualMachine, 'move')
    this._log.emit('move finished', { virtualMachine: move.virtualMachine, to: move.to, how: result })
  }
}
