/**
 * Places waiting tasks on workers.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { JobQueue } from '../configuration/job-queue.js'
import type { Resources } from '../jobs/resources.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { AdviceTask } from './advice-task.js'
import { fitsWithin } from './fits-within.js'
import type { FleetSchedule } from './fleet-schedule.js'
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledJobTable } from './scheduled-job-table.js'
import type { ScheduledStep } from './scheduled-step.js'
import type { ScheduledTask } from './scheduled-task.js'
import type { PlacementPolicy } from './placement-policy.js'
import type { ResourceReservations } from './resource-reservations.js'
import type { WorkerTable } from './worker-table.js'

/** Least time between two rounds, in milliseconds: what comes meanwhile is placed together. */
const SPACING_MILLISECONDS = 10

/** Longest time between two rounds, in milliseconds: leases lapse and due times come without anybody saying so. */
const IDLE_MILLISECONDS = 200

/** Age of the journal's and the operators' view beyond which nothing new starts, in milliseconds: cancellations, keys and zones must be known. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 2_000

/** Rounds of placement, one after the other, whenever something has changed. */
export class PlacementTask extends Task {
  override readonly name = 'placement'

  /** @param _viewAt moment as of which journal and operators' feed are known. */
  constructor (
    private readonly _schedule: FleetSchedule, private readonly _jobs: ScheduledJobTable, private readonly _roster: WorkerTable, private readonly _room: ResourceReservations, private readonly _policy: PlacementPolicy, private readonly _advice: AdviceTask, private readonly _configuration: ConfigurationFollowerTask,
    private readonly _viewAt: () => number, private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      this._schedule.expireLeases()
      const seen = this._schedule.changes
      if (this._viewAt() > now - MAXIMUM_VIEW_AGE_MILLISECONDS) this._place(now)
      await this._clock.sleepUntil(now + SPACING_MILLISECONDS, signal).catch(() => {})
      if (this._schedule.changes === seen) await this._schedule.changed.wait(this._clock, now + IDLE_MILLISECONDS, signal)
    }
  }

  private _place (now: number): void {
    const startable = this._startable(now)
    if (startable.length === 0) return
    const pools = this._usableWorkers(now)
    // The smallest demand that found no room in each pool: larger ones needn't look.
    const full = new Map<string, Resources[]>()
    let placed = 0
    for (const step of this._policy.order(startable, now)) {
      const queue = this._configuration.queue(step.job.view.submission.queue)
      const workers = pools.get(queue?.pool ?? '')
      if (!queue || !workers) continue
      const tooLarge = full.get(queue.pool) ?? []
      full.set(queue.pool, tooLarge)
      const allowed = queue.advice ? workers.filter(worker => this._advice.ticket(step, worker) !== null) : workers
      const tasks = step.definition.isGang ? this._placeGang(step, allowed) : this._placeEach(step, allowed, queue.advice ? [] : tooLarge)
      placed += tasks.length
      if (tasks.length > 0) this._explain(step, queue, tasks, now)
      if (queue.advice && step.tasks.some(({ phase }) => phase === 'waiting')) this._ask(step, queue, workers)
    }
    if (placed > 0) this._metrics.count('placement.placed', placed)
    this._metrics.timing('placement.round.milliseconds', this._clock.now() - now)
  }

  /** One line for what was decided of a step: when the job came, when it had to start, and where it runs. */
  private _explain (step: ScheduledStep, queue: JobQueue, tasks: readonly ScheduledTask[], now: number): void {
    const { job } = step
    this._log.emit('runs placed', {
      step: step.name,
      queue: queue.name,
      waited: Math.round(now - job.view.submission.submittedAt),
      slack: Math.round(job.targetCompletionAt(step.occurrence, queue) - job.criticalPathMilliseconds(step) - now),
      configuration: this._configuration.version,
      runs: tasks.map(task => `${task.index}/${task.run} ${task.workerId}`)
    })
  }

  /** Asks about workers with room for a task of the step. */
  private _ask (step: ScheduledStep, queue: JobQueue, workers: readonly FleetWorker[]): void {
    const [task] = step.waiting
    if (task) this._advice.ask(step, queue, this._candidates(task, workers))
  }

  private _startable (now: number): ScheduledStep[] {
    const steps: ScheduledStep[] = []
    for (const job of this._jobs.active) {
      for (const step of job.steps) {
        if (step.dueAt <= now && step.tasks.some(({ phase }) => phase === 'waiting') && step.isUnblocked) steps.push(step)
      }
    }
    return steps
  }

  private _usableWorkers (now: number): Map<string, FleetWorker[]> {
    const pools = new Map<string, FleetWorker[]>()
    for (const worker of this._roster.all) {
      if (!this._roster.isEligible(worker, now)) continue
      const pool = pools.get(worker.entry.pool) ?? []
      pools.set(worker.entry.pool, pool)
      pool.push(worker)
    }
    return pools
  }

  private _placeEach (step: ScheduledStep, workers: readonly FleetWorker[], tooLarge: Resources[]): ScheduledTask[] {
    const placed: ScheduledTask[] = []
    for (const task of step.waiting) {
      if (tooLarge.some(demand => fitsWithin(demand, task.reservation))) break
      if (!this._room.teamUsage.mayHave(step.job.view.submission.team, step.definition.demand)) break
      const worker = this._policy.choose(task, this._candidates(task, workers))
      if (!worker) {
        if (step.definition.requiredLabel === '' && step.definition.maximumPerWorker === 0) tooLarge.push(task.reservation)
        break
      }
      this._schedule.place(task, worker)
      placed.push(task)
    }
    return placed
  }

  /** All members or none: each waits for the others from its start. */
  private _placeGang (step: ScheduledStep, workers: readonly FleetWorker[]): ScheduledTask[] {
    if (step.tasks.some(({ phase }) => phase !== 'waiting')) return []
    const run = Math.max(...step.tasks.map(task => task.run)) + 1
    const placed: ScheduledTask[] = []
    for (const task of step.tasks) {
      const mayRun = this._room.teamUsage.mayHave(step.job.view.submission.team, step.definition.demand)
      const worker = mayRun ? this._policy.choose(task, this._candidates(task, workers)) : null
      if (!worker) break
      this._room.attach(task, worker)
      placed.push(task)
    }
    const isWhole = placed.length === step.tasks.length
    const chosen = placed.map(task => this._room.detach(task))
    if (!isWhole) return []
    step.tasks.forEach((task, index) => {
      const worker = chosen[index]
      if (worker) this._schedule.place(task, worker, run)
    })
    return placed
  }

  private _candidates (task: ScheduledTask, workers: readonly FleetWorker[]): FleetWorker[] {
    const { requiredLabel, maximumPerWorker } = task.step.definition
    return workers.filter(worker =>
      worker.hasCapacityFor(task.reservation) &&
      (requiredLabel === '' || worker.entry.labels.includes(requiredLabel)) &&
      (maximumPerWorker === 0 || this._countOnWorker(task, worker) < maximumPerWorker))
  }

  private _countOnWorker (task: ScheduledTask, worker: FleetWorker): number {
    return task.step.tasks.filter(other => other.worker === worker).length
  }
}
