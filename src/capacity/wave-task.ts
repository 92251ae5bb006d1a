/**
 * Takes VMs through the maintenance waves that operators ask for.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { JobTable } from '../jobs/job-table.js'
import type { WaveProgress } from '../jobs/wave-progress.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { DecisionWriterTask } from '../scheduling/decision-writer-task.js'
import type { FleetWorker } from '../scheduling/fleet-worker.js'
import type { WorkerTable } from '../scheduling/worker-table.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { InventoryTask } from './inventory-task.js'
import type { FleetVirtualMachineControl } from './fleet-virtual-machine-control.js'
import type { VirtualMachineError } from './virtual-machine-error.js'
import type { VirtualMachineLocks } from './virtual-machine-locks.js'
import type { WaveStatusPublisher } from './wave-status-publisher.js'

type Wave = ConfigurationFollowerTask['waves'][number]

/** Time between two rounds, in milliseconds. */
const INTERVAL_MILLISECONDS = 100

/** Limit on one order, in milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 1_500

/** Pause before an order is repeated, in milliseconds. */
const REPEAT_MILLISECONDS = 500

/** Time on top of a maintenance after which a list that shows the VM up is believed, in milliseconds: lists lag. */
const LIST_LAG_MILLISECONDS = 300

/** What this term knows of one VM of a wave. */
interface Order {
  /** Epoch milliseconds since which the VM gets nothing new; 0 before. */
  closedAt: number
  /** Epoch milliseconds of the newest order; 0 before the first. */
  sentAt: number
  /** Epoch milliseconds of the answer that it was carried out; 0 before. */
  doneAt: number
  /** Whether the VM is known to be back. */
  isBack: boolean
  isUnderWay: boolean
}

/** Empties VMs, orders their maintenance, and waits for their return, at most so many at once as the wave allows. */
export class WaveTask extends Task {
  override readonly name = 'waves'
  private readonly _orders = new Map<string, Order>()
  /** Progress including what is being written. */
  private readonly _pending = new Map<number, WaveProgress>()
  private readonly _published = new Map<number, string>()

  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _book: JobTable, private readonly _roster: WorkerTable, private readonly _writer: DecisionWriterTask,
    private readonly _inventory: InventoryTask, private readonly _control: FleetVirtualMachineControl, private readonly _board: WaveStatusPublisher, private readonly _reservations: VirtualMachineLocks,
    private readonly _settings: FleetTimings, private readonly _term: number, private readonly _onFenced: (cause: string) => void, private readonly _isAdopted: () => boolean,
    private readonly _clock: Clock, private readonly _log: DecisionLog
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      if (this._isAdopted()) for (const wave of this._configuration.waves) await this._advance(wave, now, signal)
      await this._clock.sleepUntil(now + INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private async _advance (wave: Wave, now: number, signal: AbortSignal): Promise<void> {
    const progress = this._book.wave(wave.wave) ?? { wave: wave.wave, ordered: [], begun: [], isCompleted: false }
    if (progress.isCompleted) return this._publish(wave.wave, 'completed', signal)
    await this._publish(wave.wave, 'running', signal)
    if (this._inventory.listedAt === 0) return
    this._inventory.watchUntil(now + INTERVAL_MILLISECONDS)
    for (const id of wave.virtualMachines) this._observe(wave, id, progress)
    const remaining = wave.virtualMachines.filter(id => !this._isBack(wave, id, progress) && this._inventory.machine(id) !== null)
    if (remaining.length === 0) {
      this._write({ ...progress, isCompleted: true })
      this._log.emit('wave completed', { wave: wave.wave, virtualMachines: wave.virtualMachines.length, deadline: wave.deadline })
      return
    }
    this._close(wave, remaining, progress, now)
    for (const id of remaining) this._order(wave, id, progress, now, signal)
  }

  /** Chooses which VMs to empty next: those that run least. */
  private _close (wave: Wave, remaining: readonly string[], progress: WaveProgress, now: number): void {
    const down = remaining.filter(id => progress.ordered.includes(id))
    const closing = remaining.filter(id => !progress.ordered.includes(id) && this._reservations.holder(id) === 'wave')
    const free = wave.maximumAtOnce - down.length - closing.length
    if (free <= 0) return
    const candidates = remaining.filter(id => !progress.ordered.includes(id) && this._reservations.holder(id) === null && this._inventory.machine(id)?.state === 'up')
    candidates.sort((left, right) => this._load(left) - this._load(right))
    for (const id of candidates.slice(0, free)) {
      this._reservations.take(id, 'wave')
      const worker = this._workerOf(id)
      if (worker) worker.isCordoned = true
      this._log.emit('machine closing', { virtualMachine: id, wave: wave.wave, worker: worker?.entry.id ?? '', runs: worker?.tasks.size ?? 0, deadline: wave.deadline, now: Math.round(now) })
    }
  }

  private _order (wave: Wave, id: string, progress: WaveProgress, now: number, signal: AbortSignal): void {
    const order = this._orderOf(wave, id)
    // An order announced by an earlier term may never have been sent: the VM is emptied again before it is repeated.
    if (order.sentAt === 0 && !this._isEmpty(wave, id, now)) return
    if (!progress.ordered.includes(id)) {
      this._write({ ...progress, ordered: [...progress.ordered, id] })
      return
    }
    if (order.isUnderWay || order.doneAt > 0 || now < order.sentAt + REPEAT_MILLISECONDS) return
    if (!this._reservations.mayOrder(id)) return
    order.isUnderWay = true
    order.sentAt = now
    this._reservations.announce(id, () => this._send(wave, id, order, signal))
  }

  private _send (wave: Wave, id: string, order: Order, signal: AbortSignal): void {
    this._control.maintain(id, wave.wave, this._term, this._clock.now() + ORDER_TIMEOUT_MILLISECONDS, signal)
      .then(answer => this._answered(wave, id, order, answer.isRight() ? null : answer.extract() as VirtualMachineError))
      .catch((error: Error) => this._answered(wave, id, order, error as VirtualMachineError))
  }

  /** Whether the VM is kept empty, and a list made since then says which worker it is. */
  private _isEmpty (wave: Wave, id: string, now: number): boolean {
    const order = this._orderOf(wave, id)
    const isAnnounced = this._book.wave(wave.wave)?.ordered.includes(id) ?? false
    if (isAnnounced && !this._reservations.take(id, 'wave')) return false
    if (this._reservations.holder(id) !== 'wave') return false
    if (order.closedAt === 0) order.closedAt = now
    const worker = this._workerOf(id)
    if (worker && !worker.isCordoned) {
      worker.isCordoned = true
      order.closedAt = now
    }
    return this._inventory.listedAt > order.closedAt && (worker === null || worker.tasks.size === 0)
  }

  private _answered (wave: Wave, id: string, order: Order, error: VirtualMachineError | null): void {
    order.isUnderWay = false
    this._log.emit('maintenance ordered', { virtualMachine: id, wave: wave.wave, term: this._term, outcome: error?.kind ?? 'done', detail: error?.message ?? '' })
    if (error?.kind === 'fenced') return this._onFenced(`machine ${id}: ${error.message}`)
    if (!error) order.doneAt = this._clock.now()
    if (error?.kind === 'not-in-wave' || error?.kind === 'missing') order.isBack = true
  }

  /** Takes in what the list says of a VM that has been ordered. */
  private _observe (wave: Wave, id: string, progress: WaveProgress): void {
    if (!progress.ordered.includes(id)) return
    const order = this._orderOf(wave, id)
    const machine = this._inventory.machine(id)
    const backFrom = order.doneAt + this._settings.maintenanceMilliseconds + LIST_LAG_MILLISECONDS
    if (order.isBack || order.doneAt === 0 || machine?.state !== 'up' || this._inventory.listedAt < backFrom) return
    order.isBack = true
    this._reservations.release(id, 'wave')
    const worker = this._workerOf(id)
    if (worker) worker.isCordoned = false
    this._write({ ...progress, begun: [...new Set([...progress.begun, id])] })
  }

  private _isBack (wave: Wave, id: string, progress: WaveProgress): boolean {
    return progress.begun.includes(id) || this._orderOf(wave, id).isBack
  }

  /** Progress is written before the order that it announces. */
  private _write (progress: WaveProgress): void {
    const latest = this._pending.get(progress.wave) ?? progress
    this._pending.set(progress.wave, {
      wave: progress.wave,
      ordered: [...new Set([...latest.ordered, ...progress.ordered])],
      begun: [...new Set([...latest.begun, ...progress.begun])],
      isCompleted: latest.isCompleted || progress.isCompleted
    })
    const merged = this._pending.get(progress.wave) ?? progress
    this._writer.append({ kind: 'wave', progress: merged })
  }

  private async _publish (wave: number, state: 'running' | 'completed', signal: AbortSignal): Promise<void> {
    if (this._published.get(wave) === state) return
    const published = await this._board.publish(wave, state, this._clock.now() + ORDER_TIMEOUT_MILLISECONDS, signal)
    if (published.isRight()) this._published.set(wave, state)
    else await this._clock.sleepUntil(this._clock.now() + REPEAT_MILLISECONDS, signal).catch(() => {})
  }

  private _orderOf (wave: Wave, id: string): Order {
    const key = `${wave.wave} ${id}`
    const order = this._orders.get(key) ?? { closedAt: 0, sentAt: 0, doneAt: 0, isBack: false, isUnderWay: false }
    this._orders.set(key, order)
    return order
  }

  private _workerOf (id: string): FleetWorker | null {
    const machine = this._inventory.machine(id)
    return machine && machine.worker !== '' ? this._roster.find(machine.worker) : null
  }

  private _load (id: string): number {
    const worker = this._workerOf(id)
    if (!worker) return 0
    return worker.reserved.millicores + 1_000_000 * [...worker.tasks].filter(({ step }) => step.definition.isLasting).length
  }
}
