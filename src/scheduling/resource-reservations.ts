/**
 * Whose room is held where.
 */
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledTask } from './scheduled-task.js'
import type { TeamUsage } from './team-usage.js'

/** Counts each task's room once at its worker and once for its team. */
export class ResourceReservations {
  constructor (readonly teamUsage: TeamUsage) {}

  /** Gives a task room on a worker. */
  attach (task: ScheduledTask, worker: FleetWorker): void {
    task.worker = worker
    worker.attach(task)
    this.teamUsage.add(task.step.job.view.submission.team, task.step.definition.demand, 1)
  }

  /** Takes a task's room back and tells where it was; null if it had none. */
  detach (task: ScheduledTask): FleetWorker | null {
    const { worker } = task
    if (!worker) return null
    worker.detach(task)
    task.worker = null
    this.teamUsage.add(task.step.job.view.submission.team, task.step.definition.demand, -1)
    return worker
  }
}
