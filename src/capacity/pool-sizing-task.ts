/**
 * Moves VMs to the pools that need them.
 */
import type { ConfigurationTask } from '../configuration/configuration-task.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { WorkerRoster } from '../scheduling/worker-roster.js'
import type { LeaseSettings } from '../scheduling/lease-settings.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { InventoryTask } from './inventory-task.js'
import type { MachineControl } from './machine-control.js'
import type { MachineError } from './machine-error.js'
import type { MachineReservations } from './machine-reservations.js'
import type { PoolSituations } from './pool-situations.js'
import type { PoolSizingPolicy } from './pool-sizing-policy.js'

/** Time between two rounds, in milliseconds. */
const ROUND_INTERVAL_MILLISECONDS = 150

/** Limit on one order, in milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 1_500

/** Pause before an order without an answer is repeated, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 500

/** Orders begun in one round; the platform takes some tens a second from all processes. */
const MAXIMUM_ORDERS_PER_ROUND = 8

/** Time on top of a move after which a list that shows the VM up is believed, in milliseconds: lists lag. */
const LIST_LAG_ALLOWANCE_MILLISECONDS = 300

/** Time after which a move whose VM doesn't appear is given up, in milliseconds. */
const MOVE_TIMEOUT_MILLISECONDS = 15_000

/** A move under way. */
interface Move {
  readonly virtualMachine: string
  readonly from: string
  readonly to: string
  readonly startedAt: number
  sentAt: number
  completedAt: number
  isInFlight: boolean
}

/** Compares each pool with its desired size and moves empty VMs, from standby first and back to it last. */
export class PoolSizingTask extends Task {
  override readonly name = 'pool-sizing'
  private readonly _moves = new Map<string, Move>()
  private readonly _rejectedMoves = new Set<string>()

  constructor (
    private readonly _configuration: ConfigurationTask, private readonly _poolStates: PoolSituations, private readonly _workers: WorkerRoster, private readonly _policy: PoolSizingPolicy, private readonly _inventory: InventoryTask,
    private readonly _control: MachineControl, private readonly _locks: MachineReservations, private readonly _settings: LeaseSettings, private readonly _term: number,
    private readonly _onFenced: (cause: string) => void, private readonly _isViewCurrent: () => boolean,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      if (this._inventory.listedAt > 0) {
        for (const move of [...this._moves.values()]) this._advance(move, now, signal)
        if (this._isViewCurrent()) this._resize(now, signal)
      }
      await this._clock.sleepUntil(now + ROUND_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private _resize (now: number, signal: AbortSignal): void {
    const pools = this._poolStates.collect(this._moves, now)
    if (pools.length === 0) return
    const desired = this._policy.desiredSizes(pools, now)
    const shortages = new Map<string, number>()
    const surpluses = new Map<string, number>()
    for (const { name, size } of pools) {
      const difference = (desired.get(name) ?? size) - size
      if (difference > 0) shortages.set(name, difference)
      if (difference < 0) surpluses.set(name, -difference)
    }
    // A pool with work and without any worker goes before the spare workers of pools that have no work.
    const isAnyEmpty = pools.some(({ size, requiredMillicores: wantedMillicores }) => size === 0 && wantedMillicores > 0)
    if (isAnyEmpty) for (const { name, size, isIdle: isDispensable } of pools) if (isDispensable) surpluses.set(name, size)
    let orders = 0
    for (const [pool, count] of [...shortages].sort(([, left], [, right]) => right - left)) {
      for (let missing = count; missing > 0 && orders < MAXIMUM_ORDERS_PER_ROUND; missing--) {
        if (!this._addVirtualMachine(pool, surpluses, now, signal)) break
        orders += 1
      }
    }
    const standby = this._standbyPool()
    if (standby === null) return
    for (const [pool, count] of surpluses) {
      for (let extra = count; extra > 0 && orders < MAXIMUM_ORDERS_PER_ROUND; extra--) {
        const machine = this._emptyVirtualMachine(pool, standby)
        if (!machine) break
        this._startMove(machine, standby, now, signal)
        orders += 1
      }
    }
  }

  /** One more VM for a pool, from standby or from a pool that has too many. */
  private _addVirtualMachine (pool: string, surpluses: Map<string, number>, now: number, signal: AbortSignal): boolean {
    const standby = this._standbyPool()
    const standbyMachine = standby === null ? null : this._standbyVirtualMachine(standby, pool)
    if (standbyMachine) {
      this._startMove(standbyMachine, pool, now, signal)
      return true
    }
    for (const [donor, count] of surpluses) {
      const machine = count > 0 ? this._emptyVirtualMachine(donor, pool) : null
      if (!machine) continue
      surpluses.set(donor, count - 1)
      this._startMove(machine, pool, now, signal)
      return true
    }
    return false
  }

  private _standbyPool (): string | null {
    return this._configuration.configuration?.pools.find(({ isStandby }) => isStandby)?.name ?? null
  }

  private _standbyVirtualMachine (standby: string, to: string): FleetVirtualMachine | null {
    for (const machine of this._inventory.virtualMachines) if (machine.pool === standby && this._isMovable(machine, to)) return machine
    return null
  }

  /** A VM of a pool whose worker runs nothing. */
  private _emptyVirtualMachine (pool: string, to: string): FleetVirtualMachine | null {
    for (const machine of this._inventory.virtualMachines) {
      if (machine.pool !== pool || !this._isMovable(machine, to)) continue
      const worker = this._workers.find(machine.worker)
      if (worker && worker.tasks.size === 0 && worker.heardAt > 0 && !worker.isClosing && !worker.entry.isDraining && worker.entry.pool === pool) return machine
    }
    return null
  }

  private _isMovable (machine: FleetVirtualMachine, to: string): boolean {
    return machine.state === 'up' && this._locks.holder(machine.id) === null && this._locks.isOrderAllowed(machine.id) &&
      !this._configuration.isZoneOut(machine.availabilityZone) && !this._rejectedMoves.has(`${machine.id} ${to}`)
  }

  private _startMove (machine: FleetVirtualMachine, to: string, now: number, signal: AbortSignal): void {
    if (!this._locks.acquire(machine.id, 'move')) return
    const worker = this._workers.find(machine.worker)
    if (worker) worker.isClosing = true
    const move: Move = { virtualMachine: machine.id, from: machine.pool, to, startedAt: now, sentAt: 0, completedAt: 0, isInFlight: false }
    this._moves.set(machine.id, move)
    this._metrics.count('capacity.moves', 1, to)
    this._advance(move, now, signal)
  }

  /** Orders, repeats without an answer, and ends the move when the list shows it done. */
  private _advance (move: Move, now: number, signal: AbortSignal): void {
    this._inventory.expectChangesUntil(now + ROUND_INTERVAL_MILLISECONDS)
    if (move.completedAt > 0) {
      const machine = this._inventory.virtualMachine(move.virtualMachine)
      const hasArrived = machine?.state === 'up' && this._inventory.listedAt > move.completedAt + this._settings.moveMilliseconds + LIST_LAG_ALLOWANCE_MILLISECONDS
      if (hasArrived || now > move.startedAt + MOVE_TIMEOUT_MILLISECONDS) this._finish(move, hasArrived ? 'in its pool' : 'not seen again')
      return
    }
    if (move.isInFlight || now < move.sentAt + RETRY_DELAY_MILLISECONDS) return
    move.isInFlight = true
    move.sentAt = now
    this._locks.recordOrder(move.virtualMachine, () => this._send(move, signal))
  }

  private _send (move: Move, signal: AbortSignal): void {
    this._control.move(move.virtualMachine, move.to, this._term, this._clock.now() + ORDER_TIMEOUT_MILLISECONDS, signal)
      .then(answer => this._handleAnswer(move, answer.isRight() ? null : answer.extract() as MachineError))
      .catch((error: Error) => this._handleAnswer(move, error as MachineError))
  }

  private _handleAnswer (move: Move, error: MachineError | null): void {
    move.isInFlight = false
    this._log.note('move ordered', { virtualMachine: move.virtualMachine, from: move.from, to: move.to, term: this._term, outcome: error?.kind ?? 'done', detail: error?.message ?? '' })
    if (!error) {
      move.completedAt = this._clock.now()
      return
    }
    if (error.kind === 'fenced') return this._onFenced(`machine ${move.virtualMachine}: ${error.message}`)
    if (error.kind === 'missing') this._rejectedMoves.add(`${move.virtualMachine} ${move.to}`)
    if (error.kind === 'missing' || error.kind === 'busy') this._finish(move, error.kind)
  }

  private _finish (move: Move, result: string): void {
    this._moves.delete(move.virtualMachine)
    this._locks.release(move.virtualMachine, 'move')
    const machine = this._inventory.virtualMachine(move.virtualMachine)
    const worker = machine ? this._workers.find(machine.worker) : null
    if (worker) worker.isClosing = false
    this._log.note('move ended', { virtualMachine: move.virtualMachine, to: move.to, how: result })
  }
}
