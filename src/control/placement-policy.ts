/**
 * Interface of placement policies for tasks.
 */
import type { PlacementInput } from './placement-input.js'
import type { PlacementPlan } from './placement-plan.js'

/** Decides which waiting tasks start on which workers. */
export abstract class PlacementPolicy {
  /** Makes a plan from plain data; the fold checks each placement again. */
  abstract plan (input: PlacementInput): PlacementPlan
}
