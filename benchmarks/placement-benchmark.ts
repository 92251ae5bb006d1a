/**
 * Benchmark of task placement at the target fleet size.
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

/** Target size of the fleet. */
const WORKERS = 6_900
const ACCELERATORS = 11_000
const TEAMS = 87

/** Number of waiting tasks to fill the fleet with. */
const WAITING_TASKS = 20_000

/** Number of urgent tasks that are planned, one at a time, on the full fleet. */
const URGENT_TASKS = 50

/** Processor cores of a worker. */
const PROCESSORS_PER_WORKER = 64

/** Measures the placement policy alone, without the log and the platform: planning time, use of the workers, and the cost of urgent tasks. */
export class PlacementBenchmark extends Benchmark {
  override readonly name = 'placement'
  override readonly summary = `placement on ${WORKERS} workers for ${TEAMS} teams; naive: first worker that fits`

  override async run (): Promise<ResultRow[]> {
    const system = this._fillFleet(new FairSharePlacement(new SeededRandomSource(9)))
    const naive = this._fillFleetNaively()
    const urgent = this._planUrgentTasks(system.workers, system.running)
    return [
      { figure: 'tasks placed a second, policy alone', value: system.tasksPerSecond, naive: naive.tasksPerSecond, target: '' },
      { figure: 'longest plan (ms)', value: system.longestPlanMilliseconds, naive: null, target: '5.2 s to start urgent work' },
      { figure: 'accelerators in use when nothing more fits (%)', value: system.acceleratorPercentage, naive: naive.acceleratorPercentage, target: '' },
      { figure: 'departure from share at the end, mean (%)', value: system.shareDeviation, naive: naive.shareDeviation, target: '' },
      { figure: 'plan with an urgent task on the full fleet (ms, percentile 99)', value: urgent.planMilliseconds, naive: null, target: '5.2 s to start urgent work' },
      { figure: 'runs stopped for an urgent task', value: urgent.stopsPerTask, naive: null, target: '' }
    ]
  }

  private _createWorkers (): WorkerCandidate[] {
    return Array.from({ length: WORKERS }, (_, index) => {
      const accelerators = Math.floor((index + 1) * ACCELERATORS / WORKERS) - Math.floor(index * ACCELERATORS / WORKERS)
      const capacity: TaskSize = { processors: PROCESSORS_PER_WORKER, memoryMegabytes: 256_000, accelerators }
      return { id: `worker-${index}`, rack: `rack-${index >> 2}`, availabilityZone: `zone-${index % 7}`, capacity, available: { ...capacity } }
    })
  }

  private _createTasks (): FleetTask[] {
    const random = new SeededRandomSource(4)
    return Array.from({ length: WAITING_TASKS }, (_, index) => ({
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

  private _policyInput (waiting: readonly FleetTask[], running: readonly FleetTask[], workers: readonly WorkerCandidate[]): TaskPlacementInput {
    return { waiting, running, workers, expectedSize: ({ size }) => size, share: () => 1, remainingLimit: () => Infinity, isCoolingDown: () => false, now: 1_000_000 }
  }

  /** Plans placements until no more task fits. */
  private _fillFleet (policy: FairSharePlacement): {
    tasksPerSecond: number, longestPlanMilliseconds: number, acceleratorPercentage: number, shareDeviation: number, workers: WorkerCandidate[], running: FleetTask[]
  } {
    const workers = this._createWorkers()
    const running: FleetTask[] = []
    let waiting = this._createTasks()
    let longestPlanMilliseconds = 0
    const startedAt = performance.now()
    for (;;) {
      const planStartedAt = performance.now()
      const { placements } = policy.plan(this._policyInput(waiting, running, workers))
      longestPlanMilliseconds = Math.max(longestPlanMilliseconds, performance.now() - planStartedAt)
      if (placements.length === 0) break
      const placed = new Map(placements.map(({ task, worker }) => [task, worker]))
      for (const task of waiting) {
        const worker = placed.get(task.id)
        if (worker !== undefined) running.push({ ...task, phase: 'running', worker, leaseDeadline: 1_000_000 + task.timeoutMilliseconds })
      }
      waiting = waiting.filter(task => !placed.has(task.id))
    }
    const seconds = (performance.now() - startedAt) / 1_000
    return {
      tasksPerSecond: running.length / seconds,
      longestPlanMilliseconds,
      acceleratorPercentage: this._acceleratorPercentage(workers),
      shareDeviation: this._shareDeviation(running),
      workers,
      running
    }
  }

  /** Places the tasks in order of submission, each on the first worker where it fits. */
  private _fillFleetNaively (): { tasksPerSecond: number, acceleratorPercentage: number, shareDeviation: number } {
    const workers = this._createWorkers()
    const running: FleetTask[] = []
    const startedAt = performance.now()
    for (const task of this._createTasks()) {
      const worker = workers.find(({ available }) => task.size.processors <= available.processors && task.size.memoryMegabytes <= available.memoryMegabytes && task.size.accelerators <= available.accelerators)
      if (!worker) continue
      worker.available = {
        processors: worker.available.processors - task.size.processors,
        memoryMegabytes: worker.available.memoryMegabytes - task.size.memoryMegabytes,
        accelerators: worker.available.accelerators - task.size.accelerators
      }
      running.push(task)
    }
    return { tasksPerSecond: running.length / ((performance.now() - startedAt) / 1_000), acceleratorPercentage: this._acceleratorPercentage(workers), shareDeviation: this._shareDeviation(running) }
  }

  private _acceleratorPercentage (workers: readonly WorkerCandidate[]): number {
    const availableAccelerators = workers.reduce((sum, worker) => sum + worker.available.accelerators, 0)
    return 100 * (1 - availableAccelerators / ACCELERATORS)
  }

  /** Mean deviation of the teams' numbers of running tasks from the mean, in percent; all teams have equal shares. */
  private _shareDeviation (running: readonly FleetTask[]): number {
    const counts = new Map<string | null, number>()
    for (const { team } of running) counts.set(team, (counts.get(team) ?? 0) + 1)
    const mean = running.length / TEAMS
    return 100 * [...counts.values()].reduce((sum, count) => sum + Math.abs(count - mean), 0) / TEAMS / mean
  }

  private _planUrgentTasks (workers: readonly WorkerCandidate[], running: readonly FleetTask[]): { planMilliseconds: number, stopsPerTask: number } {
    const policy = new FairSharePlacement(new SeededRandomSource(2))
    const recorder = new LatencyRecorder()
    let stops = 0
    for (const [index, task] of this._createTasks().slice(0, URGENT_TASKS).entries()) {
      const urgent: FleetTask = { ...task, id: `urgent-${index}`, isUrgent: true, size: { processors: 32, memoryMegabytes: 64_000, accelerators: 1 } }
      const startedAt = performance.now()
      stops += policy.plan(this._policyInput([urgent], running, workers)).stops.length
      recorder.record((performance.now() - startedAt) * 1_000)
    }
    return { planMilliseconds: recorder.percentile(99), stopsPerTask: stops / URGENT_TASKS }
  }
}
