/**
 * Waiting work that has been placed or completed.
 */

/** What a change has taken out of the waiting tasks of a job. */
export interface TakenWork {
  readonly tasks: number
  /** Their estimated work, in millicores times milliseconds. */
  readonly work: number
}
