/**
 * One move of a plan.
 */

/** A VM and the pool that it should move to. */
export interface PlannedMove {
  readonly virtualMachine: string
  readonly fromPool: string
  readonly toPool: string
}
