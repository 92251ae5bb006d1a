/**
 * One figure of a benchmark.
 */

/** A figure with the naive way's beside it. */
export interface ResultRow {
  /** What the figure is, with its unit. */
  readonly figure: string
  /** The system's value. */
  readonly value: number
  /** The naive way's value in the same run, or null where there is none. */
  readonly naive: number | null
  /** Bound from the stated target, or empty. */
  readonly target: string
}
