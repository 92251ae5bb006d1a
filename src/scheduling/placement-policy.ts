/**
 * Which tasks come first, and where they go.
 */
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledStep } from './scheduled-step.js'
import type { ScheduledTask } from './scheduled-task.js'

/** Varies between the system's own policy and the naive ones that it is measured against. */
export abstract class PlacementPolicy {
  /** Steps in the order in which they are to be placed. */
  abstract order (steps: readonly ScheduledStep[], now: number): ScheduledStep[]

  /** One of the workers that can take the task, or null to leave it waiting. */
  abstract choose (task: ScheduledTask, workers: readonly FleetWorker[]): FleetWorker | null
}
