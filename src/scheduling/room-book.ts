/**
 * Whose room is held where.
 */
import type { FleetWorker } from './fleet-worker.js'
import type { OwnedTask } from './owned-task.js'
import type { TeamUsage } from './team-usage.js'

/** Counts each task's room once at its worker and once for its team. */
export class RoomBook {
  constructor (readonly usage: TeamUsage) {}

  /** Gives a task room on a worker. */
  reserve (task: OwnedTask, worker: FleetWorker): void {
    task.worker = worker
    worker.reserve(task)
    this.usage.add(task.step.job.view.submission.team, task.step.definition.demand, 1)
  }

  /** Takes a task's room back and tells where it was; null if it had none. */
  release (task: OwnedTask): FleetWorker | null {
    const { worker } = task
    if (!worker) return null
    worker.release(task)
    task.worker = null
    this.usage.add(task.step.job.view.submission.team, task.step.definition.demand, -1)
    return worker
  }
}
