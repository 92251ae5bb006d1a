/**
 * Placement of tasks at the size aimed for.
 */
import { FairSharePlacement } from '../src/control/fair-share-placement.js'
import type { WorkerCandidate } from '../src/control/worker-candidate.js'
import type { TaskPlacementInput } from '../src/control/task-placement-input.js'
import type { FleetTask } from '../src/schemas/fleet-task.js'
import type { TaskSize } from '../src/schemas/task-size.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { Benchmark } from './benchmark.js'
import { LatencyRecorder } from './latency-recorder.js'
import type { ResultRow } from './result-row.js'

/** The size aimed for. */
const WORKERS = 6_900
const ACCELERATORS = 11_000
const TEAMS = 87

/** Tasks that wait, and urgent ones tried on a full fleet. */
const WAITING = 20_000
const URGENT = 50

/** Cores of a worker. */
const PROCESSORS = 64

/** One policy, no log and no platform: how fast it plans, how full it packs, what urgent tasks cost. */
export class PlacementBenchmark extends Benchmark {
  override readonly name = 'placement'
  override readonly summary = `placement on ${WORKERS} workers for ${TEAMS} teams; naive: first worker that fits`

  override async run (): Promise<ResultRow[]> {
    const ours = this._fill(new FairSharePlacement(new SeededRandomSource(9)))
    const naive = this._fillNaively()
    const urgent = this._urgent(ours.workers, ours.running)
    return [
      { figure: 'tasks placed a second, policy alone', value: ours.rate, naive: naive.rate, target: '' },
      { figure: 'longest plan (ms)', value: ours.longest, naive: null, target: '5.2 s to start urgent work' },
      { figure: 'accelerators in use when nothing more fits (%)', value: ours.accelerators, naive: naive.accelerators, target: '' },
      { figure: 'departure from share at the end, mean (%)', value: ours.departure, naive: naive.departure, target: '' },
      { figure: 'plan with an urgent task on the full fleet (ms, percentile 99)', value: urgent.milliseconds, naive: null, target: '5.2 s to start urgent work' },
      { figure: 'runs stopped for an urgent task', value: urgent.stops, naive: null, target: '' }
    ]
  }

  private _workers (): WorkerCandidate[] {
    return Array.from({ length: WORKERS }, (_, index) => {
      const accelerators = Math.floor((index + 1) * ACCELERATORS / WORKERS) - Math.floor(index * ACCELERATORS / WORKERS)
      const capacity: TaskSize = { processors: PROCESSORS, memoryMegabytes: 256_000, accelerators }
      return { id: `worker-${index}`, rack: `rack-${index >> 2}`, availabilityZone: `zone-${index % 7}`, capacity, available: { ...capacity } }
    })
  }

  private _tasks (): FleetTask[] {
    const random = new SeededRandomSource(4)
    return Array.from({ length: WAITING }, (_, index) => ({
      id: `task-${index}`,
      queue: 'jobs',
      team: `team-${index % TEAMS}`,
      size: { processors: 4 + random.integer(40), memoryMegabytes: 8_000 + random.integer(64_000), accelerators: random.integer(3) },
      isUrgent: false,
      payload: '',
      timeoutMilliseconds: 3_600_000,
      submittedAt: index,
      phase: 'waiting',
      reason: '',
      worker: null,
      token: 0,
      leaseDeadline: 0,
      failedOn: [],
      isCancelling: false
    }))
  }

  private _input (waiting: readonly FleetTask[], running: readonly FleetTask[], workers: readonly WorkerCandidate[]): TaskPlacementInput {
    return { waiting, running, workers, expectedSize: ({ size }) => size, share: () => 1, remainingLimit: () => Infinity, isCoolingDown: () => false, now: 1_000_000 }
  }

  private _fill (policy: FairSharePlacement): { rate: number, longest: number, accelerators: number, departure: number, workers: WorkerCandidate[], running: FleetTask[] } {
    const workers = this._workers()
    const running: FleetTask[] = []
    let waiting = this._tasks()
    let longest = 0
    const startedAt = performance.now()
    for (;;) {
      const planStartedAt = performance.now()
      const { placements } = policy.plan(this._input(waiting, running, workers))
      longest = Math.max(longest, performance.now() - planStartedAt)
      if (placements.length === 0) break
      const placed = new Map(placements.map(({ task, worker }) => [task, worker]))
      for (const task of waiting) {
        const worker = placed.get(task.id)
        if (worker !== undefined) running.push({ ...task, phase: 'running', worker, leaseDeadline: 1_000_000 + task.timeoutMilliseconds })
      }
      waiting = waiting.filter(task => !placed.has(task.id))
    }
    const seconds = (performance.now() - startedAt) / 1_000
    return { rate: running.length / seconds, longest, accelerators: this._acceleratorUse(workers), departure: this._departure(running), workers, running }
  }

  /** Oldest first, first worker that fits. */
  private _fillNaively (): { rate: number, accelerators: number, departure: number } {
    const workers = this._workers()
    const running: FleetTask[] = []
    const startedAt = performance.now()
    for (const task of this._tasks()) {
      const worker = workers.find(({ available: free }) => task.size.processors <= free.processors && task.size.memoryMegabytes <= free.memoryMegabytes && task.size.accelerators <= free.accelerators)
      if (!worker) continue
      worker.available = {
        processors: worker.available.processors - task.size.processors,
        memoryMegabytes: worker.available.memoryMegabytes - task.size.memoryMegabytes,
        accelerators: worker.available.accelerators - task.size.accelerators
      }
      running.push(task)
    }
    return { rate: running.length / ((performance.now() - startedAt) / 1_000), accelerators: this._acceleratorUse(workers), departure: this._departure(running) }
  }

  private _acceleratorUse (workers: readonly WorkerCandidate[]): number {
    const free = workers.reduce((sum, worker) => sum + worker.available.accelerators, 0)
    return 100 * (1 - free / ACCELERATORS)
  }

  private _departure (running: readonly FleetTask[]): number {
    const counts = new Map<string | null, number>()
    for (const { team } of running) counts.set(team, (counts.get(team) ?? 0) + 1)
    const mean = running.length / TEAMS
    return 100 * [...counts.values()].reduce((sum, count) => sum + Math.abs(count - mean), 0) / TEAMS / mean
  }

  private _urgent (workers: readonly WorkerCandidate[], running: readonly FleetTask[]): { milliseconds: number, stops: number } {
    const policy = new FairSharePlacement(new SeededRandomSource(2))
    const recorder = new LatencyRecorder()
    let stops = 0
    for (const [index, task] of this._tasks().slice(0, URGENT).entries()) {
      const urgent: FleetTask = { ...task, id: `urgent-${index}`, isUrgent: true, size: { processors: 32, memoryMegabytes: 64_000, accelerators: 1 } }
      const startedAt = performance.now()
      stops += policy.plan(this._input([urgent], running, workers)).stops.length
      recorder.record((performance.now() - startedAt) * 1_000)
    }
    return { milliseconds: recorder.percentile(99), stops: stops / URGENT }
  }
}
