/**
 * Moves VMs to the pools that need them.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { WorkerTable } from '../scheduling/worker-table.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { InventoryTask } from './inventory-task.js'
import type { FleetVirtualMachineControl } from './fleet-virtual-machine-control.js'
import type { VirtualMachineError } from './virtual-machine-error.js'
import type { VirtualMachineLocks } from './virtual-machine-locks.js'
import type { PoolStateCollector } from './pool-state-collector.js'
import type { PoolSizing } from './pool-sizing-policy.js'

/** Time between two rounds, in milliseconds. */
const INTERVAL_MILLISECONDS = 150

/** Limit on one order, in milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 1_500

/** Pause before an order without an answer is repeated, in milliseconds. */
const REPEAT_MILLISECONDS = 500

/** Orders begun in one round; the platform takes some tens a second from all processes. */
const ORDERS_A_ROUND = 8

/** Time on top of a move after which a list that shows the VM up is believed, in milliseconds: lists lag. */
const LIST_LAG_MILLISECONDS = 300

/** Time after which a move whose VM doesn't appear is given up, in milliseconds. */
const GIVE_UP_MILLISECONDS = 15_000

/** A move under way. */
interface Move {
  readonly virtualMachine: string
  readonly from: string
  readonly to: string
  readonly begunAt: number
  sentAt: number
  doneAt: number
  isUnderWay: boolean
}

/** Compares each pool with its desired size and moves empty VMs, from standby first and back to it last. */
export class PoolSizingTask extends Task {
  override readonly name = 'pool-sizing'
  private readonly _moves = new Map<string, Move>()
  private readonly _impossible = new Set<string>()

  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _situations: PoolStateCollector, private readonly _roster: WorkerTable, private readonly _sizing: PoolSizing, private readonly _inventory: InventoryTask,
    private readonly _control: FleetVirtualMachineControl, private readonly _reservations: VirtualMachineLocks, private readonly _settings: FleetTimings, private readonly _term: number,
    private readonly _onFenced: (cause: string) => void, private readonly _isViewCurrent: () => boolean,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      if (this._inventory.listedAt > 0) {
        for (const move of [...this._moves.values()]) this._follow(move, now, signal)
        if (this._isViewCurrent()) this._resize(now, signal)
      }
      await this._clock.sleepUntil(now + INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private _resize (now: number, signal: AbortSignal): void {
    const pools = this._situations.of(this._moves, now)
    if (pools.length === 0) return
    const desired = this._sizing.desired(pools, now)
    const short = new Map<string, number>()
    const surplus = new Map<string, number>()
    for (const { name, size } of pools) {
      const difference = (desired.get(name) ?? size) - size
      if (difference > 0) short.set(name, difference)
      if (difference < 0) surplus.set(name, -difference)
    }
    // A pool with work and without any worker goes before the spare workers of pools that have no work.
    const isAnyEmpty = pools.some(({ size, wantedMillicores }) => size === 0 && wantedMillicores > 0)
    if (isAnyEmpty) for (const { name, size, isDispensable } of pools) if (isDispensable) surplus.set(name, size)
    let orders = 0
    for (const [pool, count] of [...short].sort(([, left], [, right]) => right - left)) {
      for (let missing = count; missing > 0 && orders < ORDERS_A_ROUND; missing--) {
        if (!this._fill(pool, surplus, now, signal)) break
        orders += 1
      }
    }
    const standby = this._standbyPool()
    if (standby === null) return
    for (const [pool, count] of surplus) {
      for (let extra = count; extra > 0 && orders < ORDERS_A_ROUND; extra--) {
        const machine = this._emptyMachine(pool, standby)
        if (!machine) break
        this._begin(machine, standby, now, signal)
        orders += 1
      }
    }
  }

  /** One more VM for a pool, from standby or from a pool that has too many. */
  private _fill (pool: string, surplus: Map<string, number>, now: number, signal: AbortSignal): boolean {
    const standby = this._standbyPool()
    const idle = standby === null ? null : this._standbyMachine(standby, pool)
    if (idle) {
      this._begin(idle, pool, now, signal)
      return true
    }
    for (const [donor, count] of surplus) {
      const machine = count > 0 ? this._emptyMachine(donor, pool) : null
      if (!machine) continue
      surplus.set(donor, count - 1)
      this._begin(machine, pool, now, signal)
      return true
    }
    return false
  }

  private _standbyPool (): string | null {
    return this._configuration.configuration?.pools.find(({ isStandby }) => isStandby)?.name ?? null
  }

  private _standbyMachine (standby: string, to: string): FleetVirtualMachine | null {
    for (const machine of this._inventory.machines) if (machine.pool === standby && this._isMovable(machine, to)) return machine
    return null
  }

  /** A VM of a pool whose worker runs nothing. */
  private _emptyMachine (pool: string, to: string): FleetVirtualMachine | null {
    for (const machine of this._inventory.machines) {
      if (machine.pool !== pool || !this._isMovable(machine, to)) continue
      const worker = this._roster.find(machine.worker)
      if (worker && worker.tasks.size === 0 && worker.lastReportAt > 0 && !worker.isCordoned && !worker.entry.isDraining && worker.entry.pool === pool) return machine
    }
    return null
  }

  private _isMovable (machine: FleetVirtualMachine, to: string): boolean {
    return machine.state === 'up' && this._reservations.holder(machine.id) === null && this._reservations.mayOrder(machine.id) &&
      !this._configuration.isZoneOut(machine.availabilityZone) && !this._impossible.has(`${machine.id} ${to}`)
  }

  private _begin (machine: FleetVirtualMachine, to: string, now: number, signal: AbortSignal): void {
    if (!this._reservations.take(machine.id, 'move')) return
    const worker = this._roster.find(machine.worker)
    if (worker) worker.isCordoned = true
    const move: Move = { virtualMachine: machine.id, from: machine.pool, to, begunAt: now, sentAt: 0, doneAt: 0, isUnderWay: false }
    this._moves.set(machine.id, move)
    this._metrics.count('capacity.moves', 1, to)
    this._follow(move, now, signal)
  }

  /** Orders, repeats without an answer, and ends the move when the list shows it done. */
  private _follow (move: Move, now: number, signal: AbortSignal): void {
    this._inventory.watchUntil(now + INTERVAL_MILLISECONDS)
    if (move.doneAt > 0) {
      const machine = this._inventory.machine(move.virtualMachine)
      const isIn = machine?.state === 'up' && this._inventory.listedAt > move.doneAt + this._settings.moveMilliseconds + LIST_LAG_MILLISECONDS
      if (isIn || now > move.begunAt + GIVE_UP_MILLISECONDS) this._finish(move, isIn ? 'in its pool' : 'not seen again')
      return
    }
    if (move.isUnderWay || now < move.sentAt + REPEAT_MILLISECONDS) return
    move.isUnderWay = true
    move.sentAt = now
    this._reservations.announce(move.virtualMachine, () => this._send(move, signal))
  }

  private _send (move: Move, signal: AbortSignal): void {
    this._control.move(move.virtualMachine, move.to, this._term, this._clock.now() + ORDER_TIMEOUT_MILLISECONDS, signal)
      .then(answer => this._answered(move, answer.isRight() ? null : answer.extract() as VirtualMachineError))
      .catch((error: Error) => this._answered(move, error as VirtualMachineError))
  }

  private _answered (move: Move, error: VirtualMachineError | null): void {
    move.isUnderWay = false
    this._log.emit('move ordered', { virtualMachine: move.virtualMachine, from: move.from, to: move.to, term: this._term, outcome: error?.kind ?? 'done', detail: error?.message ?? '' })
    if (!error) {
      move.doneAt = this._clock.now()
      return
    }
    if (error.kind === 'fenced') return this._onFenced(`machine ${move.virtualMachine}: ${error.message}`)
    if (error.kind === 'missing') this._impossible.add(`${move.virtualMachine} ${move.to}`)
    if (error.kind === 'missing' || error.kind === 'busy') this._finish(move, error.kind)
  }

  private _finish (move: Move, how: string): void {
    this._moves.delete(move.virtualMachine)
    this._reservations.release(move.virtualMachine, 'move')
    const machine = this._inventory.machine(move.virtualMachine)
    const worker = machine ? this._roster.find(machine.worker) : null
    if (worker) worker.isCordoned = false
    this._log.emit('move ended', { virtualMachine: move.virtualMachine, to: move.to, how })
  }
}
