/**
 * Placement by fair share and best fit.
 */
import type { FleetTask } from '../schemas/fleet-task.js'
import type { TaskSize } from '../schemas/task-size.js'
import type { RandomSource } from '../supervision/random-source.js'
import type { WorkerCandidate } from './worker-candidate.js'
import type { TaskPlacementInput } from './task-placement-input.js'
import type { TaskPlacementPlan } from './task-placement-plan.js'
import { TaskPlacementPolicy } from './task-placement-policy.js'

/** Workers sampled for one task before all workers are searched. */
const SAMPLED_WORKERS = 24

/** Limit on placements in one plan. */
const MAXIMUM_PLACEMENTS = 512

/** Consecutive tasks without a fitting worker after which a plan ends: the fleet counts as full. */
const MAXIMUM_CONSECUTIVE_MISSES = 64

/** A plan under construction. */
interface PlanDraft {
  readonly placements: { task: string, worker: string }[]
  readonly stops: string[]
  /** Number of running tasks by team, including those placed by this plan. */
  readonly runningByTeam: Map<string | null, number>
  /** Number of tasks placed by this plan, by team. */
  readonly placedByTeam: Map<string | null, number>
  readonly runningByWorker: Map<string, FleetTask[]>
  /** Workers reserved for urgent tasks that wait for runs to stop. */
  readonly reserved: Set<string>
}

/**
 * Places urgent tasks first, then repeatedly a task of the team with the fewest running tasks relative to its share.
 * A task goes to the worker of a random sample with the least resources left over, accelerators weighted most, so that
 * large tasks still find workers; all workers are searched if the task fits none of the sample. An urgent task that
 * fits nowhere preempts the runs of one worker that cost least.
 */
export class FairSharePlacement extends TaskPlacementPolicy {
  constructor (private readonly _random: RandomSource) {
    super()
  }

  override plan (input: TaskPlacementInput): TaskPlacementPlan {
    const draft = this._newDraft(input)
    const urgent = input.waiting.filter(task => task.isUrgent)
    for (const task of urgent) this._placeUrgent(task, input, draft)
    this._placeByShare(input.waiting.filter(task => !task.isUrgent), input, draft)
    return { placements: draft.placements, stops: draft.stops }
  }

  private _newDraft (input: TaskPlacementInput): PlanDraft {
    const runningByTeam = new Map<string | null, number>()
    const runningByWorker = new Map<string, FleetTask[]>()
    for (const task of input.running) {
      runningByTeam.set(task.team, (runningByTeam.get(task.team) ?? 0) + 1)
      if (task.worker !== null) runningByWorker.set(task.worker, [...(runningByWorker.get(task.worker) ?? []), task])
    }
    return { placements: [], stops: [], runningByTeam, placedByTeam: new Map(), runningByWorker, reserved: new Set() }
  }

  private _placeByShare (tasks: readonly FleetTask[], input: TaskPlacementInput, draft: PlanDraft): void {
    const byTeam = new Map<string | null, FleetTask[]>()
    for (const task of tasks) {
      const teamTasks = byTeam.get(task.team)
      if (teamTasks) teamTasks.push(task)
      else byTeam.set(task.team, [task])
    }
    const cursors = new Map([...byTeam].map(([team]) => [team, 0]))
    let misses = 0
    while (draft.placements.length < MAXIMUM_PLACEMENTS && misses < MAXIMUM_CONSECUTIVE_MISSES) {
      const team = this._nextTeam(byTeam, cursors, input, draft)
      if (team === undefined) return
      const cursor = cursors.get(team) ?? 0
      cursors.set(team, cursor + 1)
      const task = byTeam.get(team)?.[cursor]
      if (task && this._place(task, input, draft)) misses = 0
      else misses += 1
    }
  }

  /** The team with the fewest running tasks relative to its share, among those that have a waiting task and are below their upper limit. */
  private _nextTeam (byTeam: ReadonlyMap<string | null, FleetTask[]>, cursors: ReadonlyMap<string | null, number>, input: TaskPlacementInput, draft: PlanDraft): string | null | undefined {
    let chosen: string | null | undefined
    let lowestLoad = Infinity
    for (const [team, tasks] of byTeam) {
      if ((cursors.get(team) ?? 0) >= tasks.length || !this._isBelowLimit(team, input, draft)) continue
      const load = (draft.runningByTeam.get(team) ?? 0) / Math.max(input.share(team), 1e-6)
      if (load >= lowestLoad) continue
      lowestLoad = load
      chosen = team
    }
    return chosen
  }

  private _isBelowLimit (team: string | null, input: TaskPlacementInput, draft: PlanDraft): boolean {
    return (draft.placedByTeam.get(team) ?? 0) < input.remainingLimit(team)
  }

  private _place (task: FleetTask, input: TaskPlacementInput, draft: PlanDraft): boolean {
    const worker = this._bestFit(this._sample(input.workers), task, input, draft) ?? this._bestFit(input.workers, task, input, draft)
    if (!worker) return false
    worker.available = this._subtract(worker.available, input.expectedSize(task))
    draft.placements.push({ task: task.id, worker: worker.id })
    draft.runningByTeam.set(task.team, (draft.runningByTeam.get(task.team) ?? 0) + 1)
    draft.placedByTeam.set(task.team, (draft.placedByTeam.get(task.team) ?? 0) + 1)
    return true
  }

  private _sample (workers: readonly WorkerCandidate[]): WorkerCandidate[] {
    if (workers.length <= SAMPLED_WORKERS) return [...workers]
    return Array.from({ length: SAMPLED_WORKERS }, () => workers[this._random.integer(workers.length)] as WorkerCandidate)
  }

  private _bestFit (workers: readonly WorkerCandidate[], task: FleetTask, input: TaskPlacementInput, draft: PlanDraft): WorkerCandidate | undefined {
    const size = input.expectedSize(task)
    let best: WorkerCandidate | undefined
    let smallestLeftover = Infinity
    for (const worker of workers) {
      if (!this._fits(size, worker.available) || task.failedOn.includes(worker.id) || input.isCoolingDown(worker.id) || draft.reserved.has(worker.id)) continue
      const leftover = this._leftover(worker, size)
      if (leftover >= smallestLeftover) continue
      smallestLeftover = leftover
      best = worker
    }
    return best
  }

  /** Weighted resources left over on the worker after the task; accelerators weigh most. */
  private _leftover (worker: WorkerCandidate, size: TaskSize): number {
    const { available, capacity } = worker
    const accelerators = available.accelerators - size.accelerators
    return accelerators * 10 + (available.processors - size.processors) / Math.max(1, capacity.processors) + (available.memoryMegabytes - size.memoryMegabytes) / Math.max(1, capacity.memoryMegabytes)
  }

  private _placeUrgent (task: FleetTask, input: TaskPlacementInput, draft: PlanDraft): void {
    if (!this._isBelowLimit(task.team, input, draft) || this._place(task, input, draft)) return
    const size = input.expectedSize(task)
    let best: { worker: WorkerCandidate, stops: FleetTask[], cost: number } | undefined
    for (const worker of input.workers) {
      if (!this._fits(size, worker.capacity) || draft.reserved.has(worker.id) || task.failedOn.includes(worker.id)) continue
      const preemptions = this._preemptionsFor(size, worker, input, draft)
      if (preemptions && (!best || preemptions.cost < best.cost)) best = { worker, ...preemptions }
    }
    if (!best) return
    draft.reserved.add(best.worker.id)
    draft.stops.push(...best.stops.map(({ id }) => id))
  }

  /** Runs of a worker to stop so that a task fits, with their cost; runs that started last go first because they lose the least work. */
  private _preemptionsFor (size: TaskSize, worker: WorkerCandidate, input: TaskPlacementInput, draft: PlanDraft): { stops: FleetTask[], cost: number } | undefined {
    const candidates = (draft.runningByWorker.get(worker.id) ?? []).filter(task => !task.isUrgent)
      .sort((left, right) => this._runTime(left, input.now) - this._runTime(right, input.now))
    const stops: FleetTask[] = []
    let available = worker.available
    let cost = 0
    for (const task of candidates) {
      if (this._fits(size, available)) break
      available = this._subtract(available, this._negate(input.expectedSize(task)))
      cost += this._runTime(task, input.now) * Math.max(1, task.size.processors)
      stops.push(task)
    }
    return this._fits(size, available) && stops.length > 0 ? { stops, cost } : undefined
  }

  private _runTime (task: FleetTask, now: number): number {
    return Math.max(0, now - (task.leaseDeadline - task.timeoutMilliseconds))
  }

  private _fits (size: TaskSize, available: TaskSize): boolean {
    return size.processors <= available.processors && size.memoryMegabytes <= available.memoryMegabytes && size.accelerators <= available.accelerators
  }

  private _subtract (left: TaskSize, right: TaskSize): TaskSize {
    return {
      processors: left.processors - right.processors,
      memoryMegabytes: left.memoryMegabytes - right.memoryMegabytes,
      accelerators: left.accelerators - right.accelerators
    }
  }

  private _negate (size: TaskSize): TaskSize {
    return { processors: -size.processors, memoryMegabytes: -size.memoryMegabytes, accelerators: -size.accelerators }
  }
}
