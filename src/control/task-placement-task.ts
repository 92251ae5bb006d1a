/**
 * Places tasks on workers and follows their runs.
 */
import type { WorkerControl } from './worker-control.js'
import type { FleetTask } from '../schemas/fleet-task.js'
import type { LeaseProof } from '../schemas/lease-proof.js'
import type { TaskCommand } from '../schemas/task-command.js'
import type { TaskSize } from '../schemas/task-size.js'
import type { WorkerUsageReport } from '../schemas/worker-usage-report.js'
import type { ControlContext } from './control-context.js'
import type { WorkerCandidate } from './worker-candidate.js'
import { LeasedTask } from './leased-task.js'
import type { TaskPlacementPolicy } from './task-placement-policy.js'
import { UsageBook } from './usage-estimator.js'

/** Limit on one call to the platform, in milliseconds. */
const PLATFORM_TIMEOUT_MILLISECONDS = 2_000

/** Allowance for clocks that differ before a lapsed run counts as ended, in milliseconds. */
const CLOCK_DIFFERENCE_MILLISECONDS = 1_000

/** Time for which a worker gets nothing after a failure, in milliseconds; grows with failures in a row. */
const COOL_DOWN_MILLISECONDS = 5_000

/** Failures in a row up to which the cool-down grows. */
const MAXIMUM_COOL_DOWN_STEPS = 8

/** Calls to the platform at once. */
const CALLS_AT_ONCE = 64

/** Most tasks in one record. */
const MAXIMUM_BATCH = 1_024

/** Failures in a row of one worker, and until when it is left alone. */
interface CoolDown {
  failures: number
  until: number
}

type End = Extract<TaskCommand, { kind: 'end-tasks' }>['ends'][number]

/**
 * Each step: take in what ended, park what can never run, stop what was cancelled, place
 * what waits, and start what is placed and not yet reported.
 *
 * A run is started only after its placement has been read back, by whoever holds the work;
 * starting twice is harmless because a worker carries a token out once. A run that isn't
 * heard of is given up only when its lease has lapsed, so that no task runs twice.
 */
export class TaskPlacementTask extends LeasedTask {
  override readonly name = 'placement'
  protected override readonly lease = 'placement'
  private readonly _usage = new UsageBook()
  private readonly _coolDowns = new Map<string, CoolDown>()
  private readonly _stopping = new Map<string, number>()

  constructor (parts: ControlContext, private readonly _control: WorkerControl, private readonly _policy: TaskPlacementPolicy) {
    super(parts)
  }

  protected override async step (proof: LeaseProof, signal: AbortSignal): Promise<void> {
    const { keeper, clock } = this.parts
    if (keeper.state.tasks.size === 0) return
    const answer = await this._control.reports(clock.now() + PLATFORM_TIMEOUT_MILLISECONDS, signal)
    const reports = answer.orDefault([])
    await this._takeEnds(reports, proof)
    await this._parkHopeless(proof)
    // Without reports nothing is known of what is free.
    if (answer.isRight()) await this._place(proof, signal)
    await this._stopCancelled(signal)
    await this._startUnreported(reports, signal)
  }

  private async _takeEnds (reports: readonly WorkerUsageReport[], proof: LeaseProof): Promise<void> {
    const { keeper, clock } = this.parts
    const ends: End[] = []
    for (const { worker, runs } of reports) {
      for (const { task: id, token, state, usage } of runs) {
        const task = keeper.state.tasks.get(id)
        if (state === 'running' || task?.phase !== 'running' || task.token !== token) continue
        ends.push({ task: id, token, result: state })
        this._judge(worker, state === 'failed')
        if (state === 'done') this._usage.learn(task, usage)
      }
    }
    const reported = new Set(ends.map(({ task }) => task))
    for (const task of keeper.state.tasks.values()) {
      const hasLapsed = task.phase === 'running' && clock.now() > task.leaseDeadline + CLOCK_DIFFERENCE_MILLISECONDS
      if (hasLapsed && !reported.has(task.id)) ends.push({ task: task.id, token: task.token, result: 'stopped' })
    }
    for (const { task } of ends) this._stopping.delete(task)
    for (const batch of this._batches(ends)) await this.submit({ kind: 'end-tasks', ends: batch, proof }, 'operations')
  }

  private _judge (worker: string, hasFailed: boolean): void {
    if (!hasFailed) {
      this._coolDowns.delete(worker)
      return
    }
    const failures = Math.min(MAXIMUM_COOL_DOWN_STEPS, (this._coolDowns.get(worker)?.failures ?? 0) + 1)
    this._coolDowns.set(worker, { failures, until: this.parts.clock.now() + COOL_DOWN_MILLISECONDS * 2 ** (failures - 1) })
  }

  /** Tasks larger than any worker would wait for ever and hold their team's others up. */
  private async _parkHopeless (proof: LeaseProof): Promise<void> {
    const { tasks, workers } = this.parts.keeper.state
    const capacities = [...workers.values()].map(({ value }) => value.capacity)
    if (capacities.length === 0) return
    const ids = [...tasks.values()].filter(task => task.phase === 'waiting' && !capacities.some(capacity => this._fits(task.size, capacity))).map(({ id }) => id)
    for (const batch of this._batches(ids)) await this.submit({ kind: 'park-tasks', ids: batch, reason: 'declares more than any worker has', proof }, 'operations')
  }

  private async _place (proof: LeaseProof, signal: AbortSignal): Promise<void> {
    const { keeper, clock } = this.parts
    const { state } = keeper
    const all = [...state.tasks.values()]
    const running = all.filter(task => task.phase === 'running')
    const plan = this._policy.plan({
      waiting: all.filter(task => task.phase === 'waiting'),
      running: running.filter(task => !this._stopping.has(task.id)),
      workers: this._freeWorkers(running),
      expectedSize: task => this._bounded(task),
      share: team => team === null ? 1 : state.share(team),
      remainingLimit: team => team === null ? Infinity : state.upperLimit(team) - state.grantedUnits(team),
      isCoolingDown: worker => (this._coolDowns.get(worker)?.until ?? 0) > clock.now(),
      now: clock.now()
    })
    const placements = plan.placements.map(({ task, worker }) => ({ task, worker, leaseDeadline: clock.now() + (state.tasks.get(task)?.timeoutMilliseconds ?? 0) }))
    for (const batch of this._batches(placements)) await this.submit({ kind: 'place-tasks', placements: batch, proof }, 'operations')
    await this._stopAll(plan.stops, signal)
  }

  /** Runs under way take what they are expected to use, also those being stopped: their room is free only when they have ended. */
  private _freeWorkers (running: readonly FleetTask[]): WorkerCandidate[] {
    const { state } = this.parts.keeper
    const workers = new Map<string, WorkerCandidate>()
    for (const { value, isQuarantined } of state.workers.values()) {
      if (isQuarantined || state.isZoneOut(value.availabilityZone)) continue
      workers.set(value.id, { id: value.id, rack: value.rack, availabilityZone: value.availabilityZone, capacity: value.capacity, available: { ...value.capacity } })
    }
    for (const task of running) {
      const worker = workers.get(task.worker ?? '')
      const size = this._bounded(task)
      if (!worker) continue
      worker.available = {
        processors: worker.available.processors - size.processors,
        memoryMegabytes: worker.available.memoryMegabytes - size.memoryMegabytes,
        accelerators: worker.available.accelerators - size.accelerators
      }
    }
    return [...workers.values()]
  }

  /** A size corrected beyond every worker would keep the task from ever running. */
  private _bounded (task: FleetTask): TaskSize {
    const expected = this._usage.expected(task)
    const fitsSomewhere = [...this.parts.keeper.state.workers.values()].some(({ value }) => this._fits(expected, value.capacity))
    return fitsSomewhere ? expected : task.size
  }

  private async _stopCancelled (signal: AbortSignal): Promise<void> {
    const cancelled = [...this.parts.keeper.state.tasks.values()].filter(task => task.phase === 'running' && task.isCancelling)
    await this._stopAll(cancelled.map(({ id }) => id), signal)
  }

  /** Orders stops; an order is repeated after a while in case it was lost. */
  private async _stopAll (ids: readonly string[], signal: AbortSignal): Promise<void> {
    const { keeper, clock } = this.parts
    const due = ids.filter(id => (this._stopping.get(id) ?? 0) <= clock.now())
    await this._inParallel(due, async id => {
      const task = keeper.state.tasks.get(id)
      if (task?.phase !== 'running' || task.worker === null) return
      this._stopping.set(id, clock.now() + PLATFORM_TIMEOUT_MILLISECONDS)
      await this._control.stop(task.worker, id, task.token, clock.now() + PLATFORM_TIMEOUT_MILLISECONDS, signal)
    })
  }

  private async _startUnreported (reports: readonly WorkerUsageReport[], signal: AbortSignal): Promise<void> {
    const { keeper, clock } = this.parts
    const known = new Set(reports.flatMap(({ runs }) => runs.map(({ task, token }) => `${task}/${token}`)))
    const unknown = [...keeper.state.tasks.values()].filter(task =>
      task.phase === 'running' && !task.isCancelling && task.leaseDeadline > clock.now() && !known.has(`${task.id}/${task.token}`))
    await this._inParallel(unknown, async ({ id, worker, token, leaseDeadline, payload }) => {
      if (worker === null) return
      await this._control.start({ worker, task: id, token, leaseDeadline, payload }, clock.now() + PLATFORM_TIMEOUT_MILLISECONDS, signal)
    })
  }

  private async _inParallel<T> (items: readonly T[], act: (item: T) => Promise<void>): Promise<void> {
    for (let index = 0; index < items.length; index += CALLS_AT_ONCE) {
      await Promise.all(items.slice(index, index + CALLS_AT_ONCE).map(act))
    }
  }

  private _batches<T> (items: readonly T[]): T[][] {
    const batches: T[][] = []
    for (let index = 0; index < items.length; index += MAXIMUM_BATCH) batches.push(items.slice(index, index + MAXIMUM_BATCH))
    return batches
  }

  private _fits (size: TaskSize, capacity: TaskSize): boolean {
    return size.processors <= capacity.processors && size.memoryMegabytes <= capacity.memoryMegabytes && size.accelerators <= capacity.accelerators
  }
}
