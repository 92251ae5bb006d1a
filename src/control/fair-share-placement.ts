/**
 * Placement by share, best fit and spread.
 */
import type { FleetTask } from '../schemas/fleet-task.js'
import type { TaskSize } from '../schemas/task-size.js'
import type { RandomSource } from '../supervision/random-source.js'
import type { WorkerCandidate } from './worker-candidate.js'
import type { TaskPlacementInput } from './task-placement-input.js'
import type { TaskPlacementPlan } from './task-placement-plan.js'
import { TaskPlacementPolicy } from './task-placement-policy.js'

/** Workers looked at for one task before all are. */
const SAMPLE = 24

/** Most placements in one plan. */
const MAXIMUM_PLACEMENTS = 512

/** Tasks that fit nowhere, in a row, after which a plan ends: the fleet is full. */
const MAXIMUM_MISSES = 64

/** A plan in the making. */
interface Draft {
  readonly placements: { task: string, worker: string }[]
  readonly stops: string[]
  /** Tasks running by team, with those just placed. */
  readonly running: Map<string | null, number>
  /** Tasks just placed by team. */
  readonly placed: Map<string | null, number>
  readonly byWorker: Map<string, FleetTask[]>
  /** Workers on which urgent tasks wait for a stop. */
  readonly reserved: Set<string>
}

/**
 * Urgent tasks first, then always the team with the fewest running tasks for its share. A
 * task goes to the worker of a random sample that it fills best, accelerators weighing
 * most, so that large gaps stay for large tasks; all workers are searched if none of the
 * sample has room. An urgent task without room stops the least costly runs of one worker.
 */
export class FairSharePlacement extends TaskPlacementPolicy {
  constructor (private readonly _random: RandomSource) {
    super()
  }

  override plan (input: TaskPlacementInput): TaskPlacementPlan {
    const draft = this._draft(input)
    const urgent = input.waiting.filter(task => task.isUrgent)
    for (const task of urgent) this._placeUrgent(task, input, draft)
    this._placeByShare(input.waiting.filter(task => !task.isUrgent), input, draft)
    return { placements: draft.placements, stops: draft.stops }
  }

  private _draft (input: TaskPlacementInput): Draft {
    const running = new Map<string | null, number>()
    const byWorker = new Map<string, FleetTask[]>()
    for (const task of input.running) {
      running.set(task.team, (running.get(task.team) ?? 0) + 1)
      if (task.worker !== null) byWorker.set(task.worker, [...(byWorker.get(task.worker) ?? []), task])
    }
    return { placements: [], stops: [], running, placed: new Map(), byWorker, reserved: new Set() }
  }

  private _placeByShare (tasks: readonly FleetTask[], input: TaskPlacementInput, draft: Draft): void {
    const byTeam = new Map<string | null, FleetTask[]>()
    for (const task of tasks) {
      const present = byTeam.get(task.team)
      if (present) present.push(task)
      else byTeam.set(task.team, [task])
    }
    const cursors = new Map([...byTeam].map(([team]) => [team, 0]))
    let misses = 0
    while (draft.placements.length < MAXIMUM_PLACEMENTS && misses < MAXIMUM_MISSES) {
      const team = this._nextTeam(byTeam, cursors, input, draft)
      if (team === undefined) return
      const cursor = cursors.get(team) ?? 0
      cursors.set(team, cursor + 1)
      const task = byTeam.get(team)?.[cursor]
      if (task && this._place(task, input, draft)) misses = 0
      else misses += 1
    }
  }

  /** The team with the fewest running tasks for its share, of those with a waiting task and room. */
  private _nextTeam (byTeam: ReadonlyMap<string | null, FleetTask[]>, cursors: ReadonlyMap<string | null, number>, input: TaskPlacementInput, draft: Draft): string | null | undefined {
    let chosen: string | null | undefined
    let least = Infinity
    for (const [team, tasks] of byTeam) {
      if ((cursors.get(team) ?? 0) >= tasks.length || !this._hasRoom(team, input, draft)) continue
      const use = (draft.running.get(team) ?? 0) / Math.max(input.share(team), 1e-6)
      if (use >= least) continue
      least = use
      chosen = team
    }
    return chosen
  }

  private _hasRoom (team: string | null, input: TaskPlacementInput, draft: Draft): boolean {
    return (draft.placed.get(team) ?? 0) < input.remainingLimit(team)
  }

  private _place (task: FleetTask, input: TaskPlacementInput, draft: Draft): boolean {
    const worker = this._bestOf(this._sample(input.workers), task, input, draft) ?? this._bestOf(input.workers, task, input, draft)
    if (!worker) return false
    worker.available = this._less(worker.available, input.expectedSize(task))
    draft.placements.push({ task: task.id, worker: worker.id })
    draft.running.set(task.team, (draft.running.get(task.team) ?? 0) + 1)
    draft.placed.set(task.team, (draft.placed.get(task.team) ?? 0) + 1)
    return true
  }

  private _sample (workers: readonly WorkerCandidate[]): WorkerCandidate[] {
    if (workers.length <= SAMPLE) return [...workers]
    return Array.from({ length: SAMPLE }, () => workers[this._random.integer(workers.length)] as WorkerCandidate)
  }

  private _bestOf (workers: readonly WorkerCandidate[], task: FleetTask, input: TaskPlacementInput, draft: Draft): WorkerCandidate | undefined {
    const size = input.expectedSize(task)
    let best: WorkerCandidate | undefined
    let least = Infinity
    for (const worker of workers) {
      if (!this._fits(size, worker.available) || task.failedOn.includes(worker.id) || input.isCoolingDown(worker.id) || draft.reserved.has(worker.id)) continue
      const gap = this._gap(worker, size)
      if (gap >= least) continue
      least = gap
      best = worker
    }
    return best
  }

  /** What stays unused on the worker; wasted accelerators weigh most. */
  private _gap (worker: WorkerCandidate, size: TaskSize): number {
    const { available: free, capacity } = worker
    const accelerators = free.accelerators - size.accelerators
    return accelerators * 10 + (free.processors - size.processors) / Math.max(1, capacity.processors) + (free.memoryMegabytes - size.memoryMegabytes) / Math.max(1, capacity.memoryMegabytes)
  }

  private _placeUrgent (task: FleetTask, input: TaskPlacementInput, draft: Draft): void {
    if (!this._hasRoom(task.team, input, draft) || this._place(task, input, draft)) return
    const size = input.expectedSize(task)
    let best: { worker: WorkerCandidate, stops: FleetTask[], cost: number } | undefined
    for (const worker of input.workers) {
      if (!this._fits(size, worker.capacity) || draft.reserved.has(worker.id) || task.failedOn.includes(worker.id)) continue
      const found = this._stopsFor(size, worker, input, draft)
      if (found && (!best || found.cost < best.cost)) best = { worker, ...found }
    }
    if (!best) return
    draft.reserved.add(best.worker.id)
    draft.stops.push(...best.stops.map(({ id }) => id))
  }

  /** The cheapest runs of a worker that make room: those that have run for the shortest time lose least. */
  private _stopsFor (size: TaskSize, worker: WorkerCandidate, input: TaskPlacementInput, draft: Draft): { stops: FleetTask[], cost: number } | undefined {
    const candidates = (draft.byWorker.get(worker.id) ?? []).filter(task => !task.isUrgent)
      .sort((left, right) => this._runTime(left, input.now) - this._runTime(right, input.now))
    const stops: FleetTask[] = []
    let free = worker.available
    let cost = 0
    for (const task of candidates) {
      if (this._fits(size, free)) break
      free = this._less(free, this._negative(input.expectedSize(task)))
      cost += this._runTime(task, input.now) * Math.max(1, task.size.processors)
      stops.push(task)
    }
    return this._fits(size, free) && stops.length > 0 ? { stops, cost } : undefined
  }

  private _runTime (task: FleetTask, now: number): number {
    return Math.max(0, now - (task.leaseDeadline - task.timeoutMilliseconds))
  }

  private _fits (size: TaskSize, free: TaskSize): boolean {
    return size.processors <= free.processors && size.memoryMegabytes <= free.memoryMegabytes && size.accelerators <= free.accelerators
  }

  private _less (left: TaskSize, right: TaskSize): TaskSize {
    return {
      processors: left.processors - right.processors,
      memoryMegabytes: left.memoryMegabytes - right.memoryMegabytes,
      accelerators: left.accelerators - right.accelerators
    }
  }

  private _negative (size: TaskSize): TaskSize {
    return { processors: -size.processors, memoryMegabytes: -size.memoryMegabytes, accelerators: -size.accelerators }
  }
}
