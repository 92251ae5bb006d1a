/**
 * One row of a benchmark's result table.
 */

/** A measured figure with that of the naive baseline. */
export interface ResultRow {
  /** Name of the figure, with its unit. */
  readonly figure: string
  /** Value of the system. */
  readonly value: number
  /** Value of the naive baseline, or null if there is none. */
  readonly naive: number | null
  /** Bound from the stated target; empty if there is none. */
  readonly target: string
}
