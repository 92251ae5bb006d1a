/**
 * Interface of the rule that keeps steps from starving.
 */
import type { StepRank } from './step-rank.js'

/** Decides when a step is placed out of the order, because it has waited for long. */
export abstract class PlacementTurns {
  /**
   * Goes through the steps of a round and has their tasks placed; returns the number of tasks placed.
   *
   * @param steps steps that don't last, in the order of placement.
   * @param placeTasks places up to `maximum` waiting tasks of a step, those of a gang all together, and returns their number. A step of which fewer are placed has no more
   * that can be placed in this round.
   */
  abstract placeAll<Step extends StepRank> (steps: readonly Step[], placeTasks: (step: Step, maximum: number) => number): number
}
