/**
 * The result of a placement.
 */

/** Runs to start, and runs to stop so that urgent tasks can start. */
export interface TaskPlacementPlan {
  readonly placements: readonly { readonly task: string, readonly worker: string }[]
  /** Tasks to stop after a checkpoint. */
  readonly stops: readonly string[]
}
