/**
 * A planned move of a VM.
 */

/** A VM with its current and its future pool. */
export interface PlannedMove {
  readonly virtualMachine: string
  readonly fromPool: string
  readonly toPool: string
}
