/**
 * Amounts of waiting work.
 */

/** Estimated work of jobs, in millicores times milliseconds. */
export interface WaitingAmounts {
  /** Work of the tasks that wait for a worker. */
  readonly unplacedWork: number
  /** The part of it that could start at once, because no earlier step has to be done first. */
  readonly startableWork: number
}
