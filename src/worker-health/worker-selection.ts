/**
 * Interface to the preference for healthy workers in placement.
 */
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'

/** Narrows the workers that have the resources for a task. */
export abstract class WorkerSelection {
  /** Returns the workers that may get the task at all. */
  abstract usable (task: ScheduledTask, workers: readonly FleetWorker[], now: number): FleetWorker[]

  /** Whether some workers with room may be unusable for the task, so that others of its size may find room although it doesn't. */
  abstract isSelective (task: ScheduledTask, now: number): boolean

  /** Returns those of the usable workers among which the placement policy chooses: none of the others is better. */
  abstract preferred (task: ScheduledTask, workers: readonly FleetWorker[], now: number): FleetWorker[]
}
