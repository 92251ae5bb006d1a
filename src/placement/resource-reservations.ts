/**
 * Reservations of resources for placed tasks.
 */
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { TeamUsage } from './team-usage.js'

/** Keeps the reservation of each placed task on its worker, and its demand in the usage of its team. */
export class ResourceReservations {
  constructor (readonly teamUsage: TeamUsage) {}

  /** Reserves resources for a task on a worker. */
  reserve (task: ScheduledTask, worker: FleetWorker): void {
    task.worker = worker
    worker.reserve(task)
    this.teamUsage.add(task.step.job.view.submission.team, task.step.definition.demand, 1)
  }

  /** Releases a task's reservation and returns its worker; null if it had none. */
  release (task: ScheduledTask): FleetWorker | null {
    const { worker } = task
    if (!worker) return null
    worker.release(task)
    task.worker = null
    this.teamUsage.add(task.step.job.view.submission.team, task.step.definition.demand, -1)
    return worker
  }
}
