/**
 * Placement of waiting tasks on workers.
 */
import type { JobQueue } from '../configuration/job-queue.js'
import type { Resources } from '../jobs/resources.js'
import type { Observability } from '../observability/observability.js'
import { Task } from '../supervision/task.js'
import { fitsWithin } from './fits-within.js'
import type { RunLogTask } from '../runs/run-log-task.js'
import type { CopyPlacement } from '../speculation/copy-placement.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledStep } from '../scheduling/scheduled-step.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { PlacementFleet } from './placement-fleet.js'
import type { PlacementJobs } from './placement-jobs.js'
import type { PlacementRound } from './placement-round.js'
import type { PlacementRules } from './placement-rules.js'
import type { PlacementTiming } from './placement-timing.js'
import type { RankedStep } from './ranked-step.js'
import { RoundReport } from './round-report.js'
import { RunIsolation } from '../crashes/run-isolation.js'

/** Bounds how late a round notices expired leases and due steps, which cause no notification. */
const MAXIMUM_ROUND_INTERVAL_MILLISECONDS = 200

/** Nothing new is placed on an older view of the journal and of the configuration: it may lack cancellations, withdrawn keys or zone outages. */
const MAXIMUM_VIEW_AGE_MILLISECONDS = 2_000

/** Time for which a task that lasts waits for more than room on a worker, in milliseconds: it may have waited as long as a lease for its last run to end. */
const LASTING_TASK_PATIENCE_MILLISECONDS = 2_000

/** Tasks of one step that wait for more than room for which a round searches a worker without success: each search is a pass over the workers. */
const MAXIMUM_FAILED_SEARCHES = 16

/** Runs placement rounds, one at a time, whenever the schedule has changed. */
export class PlacementTask extends Task {
  override readonly name = 'placement'

  constructor (
    private readonly _jobs: PlacementJobs, private readonly _fleet: PlacementFleet, private readonly _rules: PlacementRules, private readonly _timing: PlacementTiming, private readonly _copies: CopyPlacement,
    private readonly _runLog: RunLogTask, private readonly _observability: Observability
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._observability.clock.now()
      this._jobs.verdicts.settle(now)
      const isSecondLookNeeded = this._fleet.lostWorkers.check(now, now + MAXIMUM_ROUND_INTERVAL_MILLISECONDS)
      const changesBefore = this._jobs.schedule.changeCount
      if (this._timing.viewFreshAt() > now - MAXIMUM_VIEW_AGE_MILLISECONDS) {
        this._runRound(now)
        this._copies.placeCopies(now)
      }
      this._runLog.write()
      await this._observability.clock.sleepUntil(now + this._timing.pace.roundIntervalMilliseconds, signal).catch(() => {})
      if (this._jobs.schedule.changeCount === changesBefore && !isSecondLookNeeded && !this._fleet.unsettledStarts.isFull) await this._jobs.schedule.changed.wait(this._observability.clock, now + MAXIMUM_ROUND_INTERVAL_MILLISECONDS, signal)
    }
  }

  private _runRound (now: number): void {
    this._jobs.workingSet.update(now)
    this._fleet.unsettledStarts.update()
    const startableSteps = this._startableSteps(now)
    if (startableSteps.length === 0) return
    const { workersByPool, capacity } = this._eligibleWorkers(now)
    const steps = this._rules.policy.prioritize(this._rules.ranking.rank(startableSteps, capacity, now))
    const report = new RoundReport(steps, now)
    const round: PlacementRound = { workersByPool, unplaceableByPool: new Map<string, Resources[]>(), isolation: new RunIsolation(now), report, obsoleteTasksLeft: this._timing.pace.obsoleteTasksPerRound }
    const lastingSteps = steps.filter(({ isLasting }) => isLasting)
    const otherSteps = steps.filter(({ isLasting }) => !isLasting)
    // Suspected tasks choose first: a worker is free of other runs on trial only if it gets no others meanwhile.
    this._placeIsolatedTasks(lastingSteps, round)
    for (const step of lastingSteps) this._placeStep(step, round, false)
    this._placeIsolatedTasks(otherSteps, round)
    this._rules.turns.placeAll(otherSteps, (step, maximum) => this._placeStep(step, round, false, maximum))
    for (const step of startableSteps) if (step.definition.isLasting) for (const task of step.waitingTasks) task.overdueAt = Math.min(task.overdueAt, now + LASTING_TASK_PATIENCE_MILLISECONDS)
    report.log(this._runLog, this._rules.configuration.version)
    report.count(this._observability.metrics)
    this._observability.metrics.timing('placement.round.milliseconds', this._observability.clock.now() - now)
  }

  private _placeIsolatedTasks (steps: readonly RankedStep[], round: PlacementRound): void {
    for (const ranked of steps) if (ranked.step.hasCrashes) this._placeStep(ranked, round, true)
  }

  /** Places up to `maximum` waiting tasks of a step, or all members of a gang, either those that are to be isolated or the others; returns their number. */
  private _placeStep (ranked: RankedStep, round: PlacementRound, isIsolated: boolean, maximum = Infinity): number {
    const { workersByPool, unplaceableByPool, isolation, report } = round
    const { step, queue, usefulness } = ranked
    const workers = workersByPool.get(queue.pool)
    const isObsolete = usefulness === 'obsolete'
    if (!workers || this._fleet.unsettledStarts.isFull || (isObsolete && round.obsoleteTasksLeft <= 0)) return 0
    const unplaceable = unplaceableByPool.get(queue.pool) ?? []
    unplaceableByPool.set(queue.pool, unplaceable)
    const startable = step.waitingTasks.filter(({ crashes }) => !crashes.isHeldBack)
    const waiting = step.hasCrashes ? startable.filter(task => isolation.applies(task) === isIsolated) : startable
    const allowedWorkers = queue.advice ? workers.filter(worker => this._rules.advice.ticket(step, worker) !== null) : workers
    const tasks = step.definition.isGang
      ? this._placeGang(waiting, allowedWorkers, isolation, isIsolated)
      : isIsolated ? this._placeIsolated(waiting, allowedWorkers, isolation) : this._placeTasks(waiting, isObsolete ? Math.min(maximum, round.obsoleteTasksLeft) : maximum, allowedWorkers, queue.advice ? [] : unplaceable, isolation)
    if (isObsolete) round.obsoleteTasksLeft -= tasks.length
    if (tasks.length > 0) report.add(ranked, tasks)
    if (queue.advice && step.tasks.some(({ phase }) => phase === 'waiting')) this._requestAdvice(step, queue, workers)
    return tasks.length
  }

  /** Requests advice for the workers that have the resources for a task of the step. */
  private _requestAdvice (step: ScheduledStep, queue: JobQueue, workers: readonly FleetWorker[]): void {
    const [task] = step.waitingTasks
    if (task) this._rules.advice.requestAdvice(step, queue, this._workersWithCapacity(task, workers))
  }

  private _startableSteps (now: number): ScheduledStep[] {
    const steps: ScheduledStep[] = []
    for (const job of this._jobs.table.active) {
      for (const step of job.steps) {
        if (step.isOpen && step.dueAt <= now && step.tasks.some(({ phase }) => phase === 'waiting') && step.isUnblocked) steps.push(step)
      }
    }
    return steps
  }

  /** Returns the workers that may get tasks, by pool, and the sum of their capacities. */
  private _eligibleWorkers (now: number): { workersByPool: Map<string, FleetWorker[]>, capacity: Resources } {
    const workersByPool = new Map<string, FleetWorker[]>()
    const capacity = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }
    for (const worker of this._fleet.workers.all) {
      if (!this._fleet.workers.isEligible(worker, now) || worker.unsettledRuns.size > 0) continue
      const { entry } = worker
      capacity.millicores += entry.capacity.millicores
      capacity.memoryMegabytes += entry.capacity.memoryMegabytes
      capacity.accelerators += entry.capacity.accelerators
      const poolWorkers = workersByPool.get(entry.pool)
      if (poolWorkers) poolWorkers.push(worker)
      else workersByPool.set(entry.pool, [worker])
    }
    return { workersByPool, capacity }
  }

  /** Places up to `maximum` tasks of a step. One that waits for more than room is passed over; if there is no room, or a task waits for nothing else, the others don't fit either. */
  private _placeTasks (tasks: readonly ScheduledTask[], maximum: number, workers: readonly FleetWorker[], unplaceable: Resources[], isolation: RunIsolation): ScheduledTask[] {
    const placed: ScheduledTask[] = []
    let failedSearches = 0
    for (const task of tasks) {
      if (!task.isOverdue(this._observability.clock.now()) && unplaceable.some(demand => fitsWithin(demand, task.reservation))) break
      if (placed.length >= maximum || !this._isWithinUpperLimit(task) || this._fleet.unsettledStarts.isFull) break
      if (failedSearches >= MAXIMUM_FAILED_SEARCHES && this._mayWaitForMoreThanRoom(task)) continue
      const workersWithRoom = this._workersWithRoom(task, workers)
      const candidates = this._candidateWorkers(task, workersWithRoom, isolation)
      const worker = task.crashes.isEmpty ? this._rules.policy.chooseWorker(task, candidates) : isolation.choose(candidates)
      if (!worker) {
        failedSearches += 1
        if (task.lateStart || (workersWithRoom.length > 0 && this._mayWaitForMoreThanRoom(task))) continue
        const { requiredLabel, maximumPerWorker } = task.step.definition
        if (requiredLabel === '' && maximumPerWorker === 0) unplaceable.push(task.reservation)
        break
      }
      task.isIsolated = false
      this._jobs.schedule.place(task, worker)
      placed.push(task)
    }
    return placed
  }

  /** Whether workers with room may be unusable for a task although others of its step may start there. */
  private _mayWaitForMoreThanRoom (task: ScheduledTask): boolean {
    const now = this._observability.clock.now()
    return task.lateStart !== null || this._rules.selection.isSelective(task, now) || (!task.crashes.isEmpty && task.isOverdue(now))
  }

  /** Places suspected tasks on workers without other runs on trial; withholds a worker for each task that finds none. */
  private _placeIsolated (tasks: readonly ScheduledTask[], workers: readonly FleetWorker[], isolation: RunIsolation): ScheduledTask[] {
    const placed: ScheduledTask[] = []
    for (const task of tasks) {
      if (!this._isWithinUpperLimit(task)) break
      const worker = isolation.hasRoom(workers, task) ? isolation.choose(this._candidateWorkers(task, this._workersWithRoom(task, workers), isolation)) : null
      if (!worker) {
        isolation.awaitTrial(task, workers, this._workersWithCapacity(task, workers))
        continue
      }
      task.isIsolated = true
      this._jobs.schedule.place(task, worker)
      placed.push(task)
    }
    return placed
  }

  /** Places all members of a gang or none, because each member waits for the others once it has started. */
  private _placeGang (members: readonly ScheduledTask[], workers: readonly FleetWorker[], isolation: RunIsolation, isIsolated: boolean): ScheduledTask[] {
    const [first] = members
    if (!first || members.length < first.step.tasks.length) return []
    const run = Math.max(...members.map(task => task.run)) + 1
    const placed: ScheduledTask[] = []
    for (const task of members) {
      task.isIsolated = isIsolated
      const isWithinLimit = this._isWithinUpperLimit(task)
      const worker = isWithinLimit ? this._rules.policy.chooseWorker(task, this._candidateWorkers(task, this._workersWithRoom(task, workers), isolation)) : null
      if (!worker && isWithinLimit && isIsolated) isolation.awaitTrial(task, workers, this._workersWithCapacity(task, workers))
      if (!worker) break
      this._fleet.reservations.reserve(task, worker)
      placed.push(task)
    }
    const isComplete = placed.length === members.length
    const chosenWorkers = placed.map(task => this._fleet.reservations.release(task))
    if (!isComplete) {
      if (isIsolated) for (const worker of chosenWorkers) if (worker) isolation.withhold(worker)
      return []
    }
    members.forEach((task, index) => {
      const worker = chosenWorkers[index]
      if (worker) this._jobs.schedule.place(task, worker, run)
    })
    return placed
  }

  private _isWithinUpperLimit ({ step }: ScheduledTask): boolean {
    return this._fleet.reservations.teamUsage.isWithinUpperLimit(step.job.view.submission.team, step.definition.demand)
  }

  /** Returns those of the workers with room that may get a task, of those the healthiest. */
  private _candidateWorkers (task: ScheduledTask, workersWithRoom: readonly FleetWorker[], isolation: RunIsolation): FleetWorker[] {
    const now = this._observability.clock.now()
    return this._rules.selection.preferred(task, this._rules.selection.usable(task, workersWithRoom, now).filter(worker => isolation.permits(task, worker)), now)
  }

  private _workersWithCapacity (task: ScheduledTask, workers: readonly FleetWorker[]): FleetWorker[] {
    return this._rules.selection.usable(task, this._workersWithRoom(task, workers), this._observability.clock.now())
  }

  /** Returns the workers that have the resources and the label for a task, and fewer tasks of its step than may run there; the same for all tasks of a step, but for those with a late start. */
  private _workersWithRoom (task: ScheduledTask, workers: readonly FleetWorker[]): FleetWorker[] {
    const { requiredLabel, maximumPerWorker } = task.step.definition
    return workers.filter(worker =>
      worker.hasCapacityFor(task.reservation) && task.mayStartOn(worker) &&
      (requiredLabel === '' || worker.entry.labels.includes(requiredLabel)) &&
      (maximumPerWorker === 0 || task.step.countOn(worker) < maximumPerWorker))
  }
}
