/**
 * Interface of placement policies.
 */
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { StepRank } from './step-rank.js'

/** Decides on the order of placement and on the worker for each task. Implemented by the default policy and by those that it is compared with. */
export abstract class PlacementPolicy {
  /** Returns the steps in the order in which they are to be placed. */
  abstract prioritize<Step extends StepRank> (steps: readonly Step[]): Step[]

  /** Chooses one of the candidate workers for the task, or returns null to leave the task waiting. */
  abstract chooseWorker (task: ScheduledTask, workers: readonly FleetWorker[]): FleetWorker | null
}
