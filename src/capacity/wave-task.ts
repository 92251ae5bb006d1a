/**
 * Carries out the maintenance waves that operators request.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { WaveProgress } from '../jobs/wave-progress.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { WorkerTable } from '../workers/worker-table.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { InventoryTask } from './inventory-task.js'
import { LIST_LAG_ALLOWANCE_MILLISECONDS } from './list-lag-allowance.js'
import type { FleetVirtualMachineControl } from './fleet-virtual-machine-control.js'
import type { OrderRefusals } from './order-refusals.js'
import type { VirtualMachineError } from './virtual-machine-error.js'
import type { VirtualMachineLocks } from './virtual-machine-locks.js'
import type { WaveProgressJournal } from './wave-progress-journal.js'
import type { WaveStatusPublisher } from './wave-status-publisher.js'

type Wave = ConfigurationFollowerTask['waves'][number]

/** Time between two rounds, in milliseconds. */
const ROUND_INTERVAL_MILLISECONDS = 100

/** Timeout of one order or publication, in milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 1_500

/** Delay before an order or a publication is retried, in milliseconds. */
const RETRY_DELAY_MILLISECONDS = 500

/** State of one VM of a wave in this term. */
interface MaintenanceOrder {
  /** Epoch milliseconds at which the newest order was sent; 0 before the first. */
  sentAt: number
  /** Epoch milliseconds at which the platform confirmed that the order was carried out; 0 before. */
  completedAt: number
  /** Whether the VM is known to have returned, or can't have the maintenance. */
  hasReturned: boolean
  /** Whether an order awaits its response. */
  isInFlight: boolean
  /** Whether an order may have been carried out, or may be later, although nothing has confirmed it. */
  isUncertain: boolean
}

/** Evacuates VMs, orders their maintenance, and waits for their return, with at most as many at once as the wave allows. */
export class WaveTask extends Task {
  override readonly name = 'waves'
  private readonly _orders = new Map<string, MaintenanceOrder>()
  private readonly _publishedStates = new Map<number, string>()

  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _progress: WaveProgressJournal, private readonly _workers: WorkerTable, private readonly _refusals: OrderRefusals,
    private readonly _inventory: InventoryTask, private readonly _control: FleetVirtualMachineControl, private readonly _statusPublisher: WaveStatusPublisher, private readonly _locks: VirtualMachineLocks,
    private readonly _timings: FleetTimings, private readonly _term: number, private readonly _onFenced: (cause: string) => void, private readonly _isTakeoverDone: () => boolean,
    private readonly _clock: Clock, private readonly _log: DecisionLog
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      if (this._isTakeoverDone()) for (const wave of this._configuration.waves) await this._advance(wave, now, signal)
      await this._clock.sleepUntil(now + ROUND_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private async _advance (wave: Wave, now: number, signal: AbortSignal): Promise<void> {
    const progress = this._progress.read(wave.wave)
    if (progress.isCompleted) return this._publish(wave.wave, 'completed', signal)
    await this._publish(wave.wave, 'running', signal)
    if (this._inventory.listedAt === 0) return
    this._inventory.expectChangesUntil(now + ROUND_INTERVAL_MILLISECONDS)
    for (const id of wave.virtualMachines) this._checkReturn(wave, id, progress)
    const remaining = this._sortByLoad(wave.virtualMachines.filter(id => !this._hasReturned(wave, id, progress) && !this._inventory.isGone(id)))
    if (remaining.length === 0) {
      this._progress.write({ ...progress, isCompleted: true })
      this._log.emit('wave completed', { wave: wave.wave, virtualMachines: wave.virtualMachines.length, deadline: wave.deadline })
      return
    }
    this._cordonNext(wave, remaining, progress, now)
    for (const id of remaining) if (this._isTried(wave, id, progress)) this._orderMaintenance(wave, id, progress, now, signal)
  }

  /** Returns whether a VM's maintenance may be prepared and ordered at present. While the platform refuses such orders, most VMs are opened again. */
  private _isTried (wave: Wave, id: string, progress: WaveProgress): boolean {
    const order = this._orderOf(wave, id)
    const holder = this._locks.holder(id)
    if (holder === 'move' || (holder === null && !progress.ordered.includes(id))) return false
    if (order.completedAt > 0 || order.isInFlight || order.isUncertain || this._refusals.permits(id)) return true
    if (holder === null) return false
    order.sentAt = 0
    this._reopen(id)
    this._log.emit('maintenance put off', { virtualMachine: id, wave: wave.wave, worker: this._workerOf(id)?.entry.id ?? '', cause: 'the platform refuses orders' })
    return false
  }

  /** Cordons the workers of as many VMs as the wave allows at once, the first ones. */
  private _cordonNext (wave: Wave, remaining: readonly string[], progress: WaveProgress, now: number): void {
    const orderedIds = remaining.filter(id => progress.ordered.includes(id))
    const cordonedIds = remaining.filter(id => !progress.ordered.includes(id) && this._locks.holder(id) === 'wave')
    const available = wave.maximumAtOnce - orderedIds.length - cordonedIds.length
    if (available <= 0) return
    const candidates = remaining.filter(id => !progress.ordered.includes(id) && this._locks.holder(id) === null && this._inventory.virtualMachineById(id)?.state === 'up')
    for (const id of candidates.filter(candidate => this._refusals.permits(candidate)).slice(0, available)) {
      this._locks.acquire(id, 'wave')
      this._locks.cordons.cordon(id)
      const worker = this._workerOf(id)
      this._log.emit('worker cordoned for maintenance', { virtualMachine: id, wave: wave.wave, worker: worker?.entry.id ?? '', runs: worker?.tasks.size ?? 0, deadline: wave.deadline, now: Math.round(now) })
    }
  }

  private _orderMaintenance (wave: Wave, id: string, progress: WaveProgress, now: number, signal: AbortSignal): void {
    const order = this._orderOf(wave, id)
    if (order.completedAt > 0) return
    // An order without a response, or recorded by an earlier term, may not have been carried out: the VM is evacuated again before the order is repeated.
    if (!this._isEvacuated(wave, id)) return
    if (!progress.ordered.includes(id)) {
      this._progress.write({ ...progress, ordered: [...progress.ordered, id] })
      return
    }
    if (order.isInFlight || now < order.sentAt + RETRY_DELAY_MILLISECONDS) return
    if (!this._locks.isOrderAllowed(id)) return
    order.isInFlight = true
    order.sentAt = now
    this._locks.recordOrder(id, {}, () => this._send(wave, id, order, signal), () => {
      order.isInFlight = false
      this._log.emit('order postponed', { virtualMachine: id, term: this._term, cause: 'the store has not confirmed the term recently' })
    })
  }

  private _send (wave: Wave, id: string, order: MaintenanceOrder, signal: AbortSignal): void {
    this._control.maintain(id, wave.wave, this._term, this._clock.now() + ORDER_TIMEOUT_MILLISECONDS, signal)
      .then(response => this._handleResponse(wave, id, order, response.isRight() ? null : response.extract() as VirtualMachineError))
      .catch((error: Error) => this._handleResponse(wave, id, order, error as VirtualMachineError))
  }

  /** Cordons the worker of a VM that this task has locked, or that the wave's record names. Returns whether it is known to have no tasks. */
  private _isEvacuated (wave: Wave, id: string): boolean {
    const isRecorded = this._progress.read(wave.wave).ordered.includes(id)
    if (isRecorded && !this._locks.acquire(id, 'wave')) return false
    return this._locks.holder(id) === 'wave' && this._locks.cordons.isEvacuated(id)
  }

  private _handleResponse (wave: Wave, id: string, order: MaintenanceOrder, error: VirtualMachineError | null): void {
    order.isInFlight = false
    this._log.emit('maintenance ordered', { virtualMachine: id, wave: wave.wave, term: this._term, outcome: error?.kind ?? 'done', detail: error?.message ?? '' })
    if (error?.kind === 'fenced') return this._onFenced(`VM ${id}: ${error.message}`)
    if (error?.kind === 'overload' || error?.kind === 'unsent') this._refusals.recordRefusal(id)
    else if (!error || error.kind === 'busy' || error.kind === 'not-in-wave' || error.kind === 'missing') this._refusals.recordDecision()
    else order.isUncertain = true
    if (!error) this._recordConfirmation(wave, id, order)
    if (error?.kind !== 'not-in-wave' && error?.kind !== 'missing') return
    order.hasReturned = true
    this._reopen(id)
  }

  /** Releases a VM, so that its worker gets new tasks. */
  private _reopen (id: string): void {
    this._locks.release(id, 'wave')
  }

  /** Records when the VM will have returned at the latest, so that no next owner orders its maintenance and counts the time again. */
  private _recordConfirmation (wave: Wave, id: string, order: MaintenanceOrder): void {
    order.completedAt = this._clock.now()
    const progress = this._progress.read(wave.wave)
    if (progress.confirmed.some(({ virtualMachine }) => virtualMachine === id)) return
    this._progress.write({ ...progress, confirmed: [...progress.confirmed, { virtualMachine: id, at: this._locks.fleetTime.fromLocal(order.completedAt) }] })
  }

  /** Checks whether the list shows the return of a VM whose maintenance has been ordered. */
  private _checkReturn (wave: Wave, id: string, progress: WaveProgress): void {
    if (!progress.ordered.includes(id)) return
    const order = this._orderOf(wave, id)
    const listed = this._inventory.virtualMachineById(id)
    const returnVisibleFrom = order.completedAt + this._timings.maintenanceMilliseconds + LIST_LAG_ALLOWANCE_MILLISECONDS
    if (order.hasReturned || order.completedAt === 0 || listed?.state !== 'up' || this._inventory.listedAt < returnVisibleFrom) return
    order.hasReturned = true
    this._reopen(id)
    this._progress.write({ ...progress, begun: [...new Set([...progress.begun, id])] })
  }

  private _hasReturned (wave: Wave, id: string, progress: WaveProgress): boolean {
    return progress.begun.includes(id) || this._orderOf(wave, id).hasReturned
  }

  private async _publish (wave: number, state: 'running' | 'completed', signal: AbortSignal): Promise<void> {
    if (this._publishedStates.get(wave) === state) return
    const result = await this._statusPublisher.publish(wave, state, this._clock.now() + ORDER_TIMEOUT_MILLISECONDS, signal)
    if (result.isRight()) this._publishedStates.set(wave, state)
    else await this._clock.sleepUntil(this._clock.now() + RETRY_DELAY_MILLISECONDS, signal).catch(() => {})
  }

  private _orderOf (wave: Wave, id: string): MaintenanceOrder {
    const key = `${wave.wave} ${id}`
    const order = this._orders.get(key) ?? { sentAt: 0, completedAt: this._inheritedCompletion(wave, id), hasReturned: false, isInFlight: false, isUncertain: false }
    this._orders.set(key, order)
    return order
  }

  /** Returns the latest time on this process's clock at which the platform may have confirmed an order of an earlier owner; 0 if it hasn't. */
  private _inheritedCompletion (wave: Wave, id: string): number {
    const confirmation = this._progress.read(wave.wave).confirmed.find(({ virtualMachine }) => virtualMachine === id)
    return confirmation ? Math.min(this._clock.now(), this._locks.fleetTime.latestLocal(confirmation.at)) : 0
  }

  private _workerOf (id: string): FleetWorker | null {
    const listed = this._inventory.virtualMachineById(id)
    return listed && listed.worker !== '' ? this._workers.find(listed.worker) : null
  }

  private _sortByLoad (ids: readonly string[]): string[] {
    return ids.map(id => ({ id, load: this._load(id) })).sort((left, right) => left.load - right.load).map(({ id }) => id)
  }

  /** Returns a sort key: lasting tasks weigh more than any amount of reserved processors. */
  private _load (id: string): number {
    const worker = this._workerOf(id)
    if (!worker) return 0
    return worker.reserved.millicores + 1_000_000 * [...worker.tasks].filter(({ step }) => step.definition.isLasting).length
  }
}
