/**
 * Places tasks on workers and tracks their runs.
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
import { UsageEstimator } from './usage-estimator.js'

/** Time limit for one call to the platform, in milliseconds. */
const PLATFORM_TIMEOUT_MILLISECONDS = 2_000

/** Allowance for clock skew before a run whose lease has expired counts as stopped, in milliseconds. */
const CLOCK_SKEW_ALLOWANCE_MILLISECONDS = 1_000

/** Cooldown of a worker after a failed run, in milliseconds; doubles with each consecutive failure. */
const COOLDOWN_MILLISECONDS = 5_000

/** Consecutive failures up to which the cooldown grows. */
const MAXIMUM_COOLDOWN_FAILURES = 8

/** Limit on concurrent calls to the platform. */
const MAXIMUM_CONCURRENT_CALLS = 64

/** Limit on tasks in one record. */
const MAXIMUM_BATCH_TASKS = 1_024

/** Consecutive failed runs on one worker, and the epoch milliseconds until which it gets no new tasks. */
interface Cooldown {
  consecutiveFailures: number
  cooldownUntil: number
}

type RunCompletion = Extract<TaskCommand, { kind: 'end-tasks' }>['ends'][number]

/**
 * Each step submits run completions, parks tasks that fit no worker, places waiting tasks, stops cancelled runs, and
 * starts runs that are placed but not yet reported.
 *
 * A run is started only after its placement has been read back from the log, by the current lease holder. A repeated
 * start is harmless because a worker executes each fencing token once. A run that isn't reported counts as stopped
 * only after its lease has expired, so that no task runs twice at the same time.
 */
export class TaskPlacementTask extends LeasedTask {
  override readonly name = 'placement'
  protected override readonly leaseName = 'placement'
  private readonly _usageEstimator = new UsageEstimator()
  private readonly _cooldowns = new Map<string, Cooldown>()
  /** Runs that were ordered to stop, with the epoch milliseconds after which the order is repeated. */
  private readonly _stopRetryDeadlines = new Map<string, number>()

  constructor (context: ControlContext, private readonly _workerControl: WorkerControl, private readonly _policy: TaskPlacementPolicy) {
    super(context)
  }

  protected override async step (proof: LeaseProof, signal: AbortSignal): Promise<void> {
    const { keeper, clock } = this.context
    if (keeper.state.tasks.size === 0) return
    const response = await this._workerControl.reports(clock.now() + PLATFORM_TIMEOUT_MILLISECONDS, signal)
    const reports = response.orDefault([])
    await this._submitCompletions(reports, proof)
    await this._parkUnplaceable(proof)
    // Without reports, the available resources are unknown.
    if (response.isRight()) await this._place(proof, signal)
    await this._stopCancelled(signal)
    await this._startUnreported(reports, signal)
  }

  /** Submits the results that workers report, and "stopped" for runs whose lease has expired. */
  private async _submitCompletions (reports: readonly WorkerUsageReport[], proof: LeaseProof): Promise<void> {
    const { keeper, clock } = this.context
    const completions: RunCompletion[] = []
    for (const { worker, runs } of reports) {
      for (const { task: id, token, state, usage } of runs) {
        const task = keeper.state.tasks.get(id)
        if (state === 'running' || task?.phase !== 'running' || task.token !== token) continue
        completions.push({ task: id, token, result: state })
        this._updateCooldown(worker, state === 'failed')
        if (state === 'done') this._usageEstimator.observe(task, usage)
      }
    }
    const reported = new Set(completions.map(({ task }) => task))
    for (const task of keeper.state.tasks.values()) {
      const hasExpired = task.phase === 'running' && clock.now() > task.leaseDeadline + CLOCK_SKEW_ALLOWANCE_MILLISECONDS
      if (hasExpired && !reported.has(task.id)) completions.push({ task: task.id, token: task.token, result: 'stopped' })
    }
    for (const { task } of completions) this._stopRetryDeadlines.delete(task)
    for (const batch of this._batches(completions)) await this.submit({ kind: 'end-tasks', ends: batch, proof }, 'operations')
  }

  private _updateCooldown (worker: string, hasFailed: boolean): void {
    if (!hasFailed) {
      this._cooldowns.delete(worker)
      return
    }
    const consecutiveFailures = Math.min(MAXIMUM_COOLDOWN_FAILURES, (this._cooldowns.get(worker)?.consecutiveFailures ?? 0) + 1)
    this._cooldowns.set(worker, { consecutiveFailures, cooldownUntil: this.context.clock.now() + COOLDOWN_MILLISECONDS * 2 ** (consecutiveFailures - 1) })
  }

  /** Parks tasks larger than any worker: they would wait forever and delay other tasks of their team. */
  private async _parkUnplaceable (proof: LeaseProof): Promise<void> {
    const { tasks, workers } = this.context.keeper.state
    const capacities = [...workers.values()].map(({ value }) => value.capacity)
    if (capacities.length === 0) return
    const ids = [...tasks.values()].filter(task => task.phase === 'waiting' && !capacities.some(capacity => this._fits(task.size, capacity))).map(({ id }) => id)
    for (const batch of this._batches(ids)) await this.submit({ kind: 'park-tasks', ids: batch, reason: 'declares more than any worker has', proof }, 'operations')
  }

  private async _place (proof: LeaseProof, signal: AbortSignal): Promise<void> {
    const { keeper, clock } = this.context
    const { state } = keeper
    const allTasks = [...state.tasks.values()]
    const running = allTasks.filter(task => task.phase === 'running')
    const plan = this._policy.plan({
      waiting: allTasks.filter(task => task.phase === 'waiting'),
      running: running.filter(task => !this._stopRetryDeadlines.has(task.id)),
      workers: this._candidateWorkers(running),
      expectedSize: task => this._expectedSize(task),
      share: team => team === null ? 1 : state.share(team),
      remainingLimit: team => team === null ? Infinity : state.upperLimit(team) - state.grantedUnits(team),
      isCoolingDown: worker => (this._cooldowns.get(worker)?.cooldownUntil ?? 0) > clock.now(),
      now: clock.now()
    })
    const placements = plan.placements.map(({ task, worker }) => ({ task, worker, leaseDeadline: clock.now() + (state.tasks.get(task)?.timeoutMilliseconds ?? 0) }))
    for (const batch of this._batches(placements)) await this.submit({ kind: 'place-tasks', placements: batch, proof }, 'operations')
    await this._stopAll(plan.stops, signal)
  }

  /**
   * Workers that may get tasks, with their available resources. Every running task occupies its expected size, even
   * while it is being stopped: its resources become available only when it has completed.
   */
  private _candidateWorkers (running: readonly FleetTask[]): WorkerCandidate[] {
    const { state } = this.context.keeper
    const workers = new Map<string, WorkerCandidate>()
    for (const { value, isQuarantined } of state.workers.values()) {
      if (isQuarantined || state.isZoneOut(value.availabilityZone)) continue
      workers.set(value.id, { id: value.id, rack: value.rack, availabilityZone: value.availabilityZone, capacity: value.capacity, available: { ...value.capacity } })
    }
    for (const task of running) {
      const worker = workers.get(task.worker ?? '')
      const size = this._expectedSize(task)
      if (!worker) continue
      worker.available = {
        processors: worker.available.processors - size.processors,
        memoryMegabytes: worker.available.memoryMegabytes - size.memoryMegabytes,
        accelerators: worker.available.accelerators - size.accelerators
      }
    }
    return [...workers.values()]
  }

  /** Estimated size of a task; the declared size if no worker could fit the estimate, since the task could never run otherwise. */
  private _expectedSize (task: FleetTask): TaskSize {
    const estimate = this._usageEstimator.estimate(task)
    const fitsSomewhere = [...this.context.keeper.state.workers.values()].some(({ value }) => this._fits(estimate, value.capacity))
    return fitsSomewhere ? estimate : task.size
  }

  private async _stopCancelled (signal: AbortSignal): Promise<void> {
    const cancelled = [...this.context.keeper.state.tasks.values()].filter(task => task.phase === 'running' && task.isCancelling)
    await this._stopAll(cancelled.map(({ id }) => id), signal)
  }

  /** Orders runs to stop; repeats an order after the call timeout, in case it was lost. */
  private async _stopAll (ids: readonly string[], signal: AbortSignal): Promise<void> {
    const { keeper, clock } = this.context
    const due = ids.filter(id => (this._stopRetryDeadlines.get(id) ?? 0) <= clock.now())
    await this._inParallel(due, async id => {
      const task = keeper.state.tasks.get(id)
      if (task?.phase !== 'running' || task.worker === null) return
      this._stopRetryDeadlines.set(id, clock.now() + PLATFORM_TIMEOUT_MILLISECONDS)
      await this._workerControl.stop(task.worker, id, task.token, clock.now() + PLATFORM_TIMEOUT_MILLISECONDS, signal)
    })
  }

  private async _startUnreported (reports: readonly WorkerUsageReport[], signal: AbortSignal): Promise<void> {
    const { keeper, clock } = this.context
    const reportedRuns = new Set(reports.flatMap(({ runs }) => runs.map(({ task, token }) => `${task}/${token}`)))
    const unreported = [...keeper.state.tasks.values()].filter(task =>
      task.phase === 'running' && !task.isCancelling && task.leaseDeadline > clock.now() && !reportedRuns.has(`${task.id}/${task.token}`))
    await this._inParallel(unreported, async ({ id, worker, token, leaseDeadline, payload }) => {
      if (worker === null) return
      await this._workerControl.start({ worker, task: id, token, leaseDeadline, payload }, clock.now() + PLATFORM_TIMEOUT_MILLISECONDS, signal)
    })
  }

  private async _inParallel<T> (items: readonly T[], perform: (item: T) => Promise<void>): Promise<void> {
    for (let index = 0; index < items.length; index += MAXIMUM_CONCURRENT_CALLS) {
      await Promise.all(items.slice(index, index + MAXIMUM_CONCURRENT_CALLS).map(perform))
    }
  }

  private _batches<T> (items: readonly T[]): T[][] {
    const batches: T[][] = []
    for (let index = 0; index < items.length; index += MAXIMUM_BATCH_TASKS) batches.push(items.slice(index, index + MAXIMUM_BATCH_TASKS))
    return batches
  }

  private _fits (size: TaskSize, capacity: TaskSize): boolean {
    return size.processors <= capacity.processors && size.memoryMegabytes <= capacity.memoryMegabytes && size.accelerators <= capacity.accelerators
  }
}
