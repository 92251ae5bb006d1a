/**
 * Where tasks run.
 */
import type { PlacementInput } from './placement-input.js'
import type { PlacementPlan } from './placement-plan.js'

/** Plans which waiting tasks start where. */
export abstract class PlacementPolicy {
  /** Plans from plain data; the fold decides on each placement again. */
  abstract plan (input: PlacementInput): PlacementPlan
}
