/**
 * Which tasks come first, and where they go.
 */
import type { FleetWorker } from './fleet-worker.js'
import type { OwnedStep } from './owned-step.js'
import type { OwnedTask } from './owned-task.js'

/** Varies between the system's own policy and the naive ones that it is measured against. */
export abstract class PlacementPolicy {
  /** Steps in the order in which they are to be placed. */
  abstract prioritize (steps: readonly OwnedStep[], now: number): OwnedStep[]

  /** One of the workers that can take the task, or null to leave it waiting. */
  abstract chooseWorker (task: OwnedTask, workers: readonly FleetWorker[]): FleetWorker | null
}
