/**
 * Result of a placement policy.
 */

/** Tasks to start, and running tasks to stop so that urgent ones can start. */
export interface TaskPlacementPlan {
  readonly placements: readonly { readonly task: string, readonly worker: string }[]
  /** Running tasks to stop after a checkpoint. */
  readonly stops: readonly string[]
}
