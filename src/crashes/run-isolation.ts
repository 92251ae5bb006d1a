/**
 * Isolation of runs that may crash their worker.
 */
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'

/** Largest fraction of a pool's workers that take part in trials at once; one worker always may. */
const MAXIMUM_TRIAL_FRACTION = 0.5

/** Time for which a task that lasts waits for a trial, whatever its crashes, in milliseconds: with the time until its loss is known it is at work again within 6 s. */
const LASTING_TRIAL_PATIENCE_MILLISECONDS = 2_000

/** The same for other tasks. Longer, because suspects that start together are lost together if one of them is deadly. */
const TRIAL_PATIENCE_MILLISECONDS = 8_000

/** Exceeds the number of runs on any worker. */
const MAXIMUM_RUNS_PER_WORKER = 10_000

/**
 * Keeps other starts away from a worker while a suspected run is on trial there, in one placement round. A suspected task for which no worker is free
 * of other runs on trial has one withheld, which gets nothing else until it is. When it has waited for that while there was room, it starts like others, but not
 * beside a trial: its crash may then have rivals, and weighs less. A task that lasts and is overdue
 * doesn't wait for trials of its like: it shares them unless it is probably the cause of the crashes.
 */
export class RunIsolation {
  private readonly _withheld = new Set<FleetWorker>()

  constructor (private readonly _now: number) {}

  /** Whether a task has to be isolated at present, or the gang to which it belongs. */
  applies (task: ScheduledTask): boolean {
    const group = task.step.definition.isGang ? task.step.tasks : [task]
    if (group.some(({ trialOverdueAt }) => trialOverdueAt <= this._now)) return false
    return group.some(({ crashes, isolationDeadline }) => crashes.requiresIsolation || (crashes.needsIsolation && isolationDeadline > this._now))
  }

  /**
   * Lets a task for which there is room wait for its trial, and withholds a worker for it, unless as many of its pool as may take part in trials.
   *
   * @param workers those of the pool.
   * @param workersWithRoom those of them with room for the task.
   */
  awaitTrial (task: ScheduledTask, workers: readonly FleetWorker[], workersWithRoom: readonly FleetWorker[]): void {
    if (workersWithRoom.length === 0) return
    const patience = task.step.definition.isLasting ? LASTING_TRIAL_PATIENCE_MILLISECONDS : TRIAL_PATIENCE_MILLISECONDS
    task.trialOverdueAt = Math.min(task.trialOverdueAt, this._now + patience)
    if (this.hasRoom(workers, task)) this.withholdOne(workersWithRoom, task)
  }

  /** Whether the task may start on a worker beside the runs that are there. */
  permits (task: ScheduledTask, worker: FleetWorker): boolean {
    const { crashes, step } = task
    if (crashes.isEmpty && task.isOverdue(this._now)) return true
    if (this._withheld.has(worker) && task.trialOverdueAt > this._now) return false
    // Nearly all tasks: the rest would be computed for each of them on each worker.
    if (crashes.isEmpty && !step.definition.isGang) return !worker.blocksStartOf(task)
    if (this._sharesTrials(task) && [...worker.tasks].every(other => !other.isOnTrial || other.step.definition.isLasting)) return true
    if (worker.blocksStartOf(task)) return false
    return !this.applies(task) || [...worker.tasks].every(other => !other.isOnTrial || other.isolationGroup === task.isolationGroup)
  }

  /** Whether another worker of a pool may take part in a trial. */
  hasRoom (workers: readonly FleetWorker[], task: ScheduledTask): boolean {
    if (this._sharesTrials(task)) return true
    const busy = workers.filter(worker => this._withheld.has(worker) || worker.blocksStartOf(task)).length
    return busy < Math.max(1, Math.floor(workers.length * MAXIMUM_TRIAL_FRACTION))
  }

  /**
   * Chooses a worker for a task under which a worker has crashed: the one with the fewest other tasks of this kind, so that those that were lost
   * together aren't lost together again, and then the one with the fewest runs, which are lost if it crashes.
   */
  choose (workers: readonly FleetWorker[]): FleetWorker | null {
    let best: FleetWorker | null = null
    let bestRisk = Infinity
    for (const worker of workers) {
      const crashedTasks = [...worker.tasks].filter(({ crashes }) => !crashes.isEmpty).length
      const risk = crashedTasks * MAXIMUM_RUNS_PER_WORKER + worker.tasks.size
      if (risk >= bestRisk) continue
      best = worker
      bestRisk = risk
    }
    return best
  }

  /** Withholds a worker for the rest of the round. */
  withhold (worker: FleetWorker): void {
    this._withheld.add(worker)
  }

  /** Withholds the worker whose runs will be the first to have passed their trial. */
  withholdOne (candidates: readonly FleetWorker[], task: ScheduledTask): void {
    let best: FleetWorker | null = null
    let bestStart = Infinity
    for (const worker of candidates) {
      if (this._withheld.has(worker) || worker.blocksStartOf(task)) continue
      const newestStart = Math.max(0, ...[...worker.tasks].filter(({ isOnTrial }) => isOnTrial).map(({ startOrderedAt }) => startOrderedAt === 0 ? this._now : startOrderedAt))
      if (newestStart >= bestStart) continue
      best = worker
      bestStart = newestStart
    }
    if (best) this.withhold(best)
  }

  /** Whether a task may start beside lasting tasks that are on trial. */
  private _sharesTrials (task: ScheduledTask): boolean {
    return task.isOverdue(this._now) && !task.crashes.isProbableCause
  }
}
