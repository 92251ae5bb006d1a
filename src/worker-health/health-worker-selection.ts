/**
 * The default preference for healthy workers.
 */
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { FailedTaskTable } from './failed-task-table.js'
import { WorkerSelection } from './worker-selection.js'

/** Number of tasks that a worker on probation may have. */
const MAXIMUM_PROBATION_TASKS = 2

/**
 * Prefers trusted workers, then slow ones, then those that just left a start or this task unfinished, then those on probation. A lasting task that is overdue takes any worker. Only reads
 * what has been decided before, because it runs for each task of a round over all workers with room.
 */
export class HealthWorkerSelection extends WorkerSelection {
  constructor (private readonly _failedTasks: FailedTaskTable) {
    super()
  }

  override usable (task: ScheduledTask, workers: readonly FleetWorker[], now: number): FleetWorker[] {
    if (task.isOverdue(now)) return [...workers]
    const { isLasting } = task.step.definition
    const hasFailed = this._failedTasks.has(task.name)
    return workers.filter(worker => this._mayGet(worker, isLasting) && !(hasFailed && this._failedTasks.isPaused(task.name, worker.entry.id, now)))
  }

  override isSelective (task: ScheduledTask, now: number): boolean {
    return !task.isOverdue(now) && (task.step.definition.isLasting || this._failedTasks.has(task.name))
  }

  override preferred (task: ScheduledTask, workers: readonly FleetWorker[], now: number): FleetWorker[] {
    const hasFailed = this._failedTasks.has(task.name)
    let best: FleetWorker[] = []
    let bestRank = Infinity
    for (const worker of workers) {
      const isAvoided = worker.avoidedUntil > now || (hasFailed && this._failedTasks.hasFailedOn(task.name, worker.entry.id))
      const rank = this._rank(worker, isAvoided)
      if (rank > bestRank) continue
      if (rank < bestRank) best = []
      bestRank = rank
      best.push(worker)
    }
    return best
  }

  private _mayGet ({ health: { state }, tasks }: FleetWorker, isLasting: boolean): boolean {
    return state === 'trusted' || (state === 'probation' && !isLasting && tasks.size < MAXIMUM_PROBATION_TASKS)
  }

  private _rank ({ health: { state, isSlow } }: FleetWorker, isAvoided: boolean): number {
    if (state === 'excluded') return 4
    if (state === 'probation') return 3
    if (isAvoided) return 2
    return isSlow ? 1 : 0
  }
}
