/**
 * Where tasks run.
 */
import type { TaskPlacementInput } from './task-placement-input.js'
import type { TaskPlacementPlan } from './task-placement-plan.js'

/** Plans which waiting tasks start where. */
export abstract class TaskPlacementPolicy {
  /** Plans from plain data; the fold decides on each placement again. */
  abstract plan (input: TaskPlacementInput): TaskPlacementPlan
}
