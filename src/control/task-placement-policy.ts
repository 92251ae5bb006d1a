/**
 * Interface of placement policies for tasks.
 */
import type { TaskPlacementInput } from './task-placement-input.js'
import type { TaskPlacementPlan } from './task-placement-plan.js'

/** Decides which waiting tasks start on which workers. */
export abstract class TaskPlacementPolicy {
  /** Makes a plan from plain data; the fold checks each placement again. */
  abstract plan (input: TaskPlacementInput): TaskPlacementPlan
}
