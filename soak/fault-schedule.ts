/**
 * Times of the faults of a soak run.
 */

/** Bounds of a random time, in milliseconds. */
interface Bounds {
  readonly minimum: number
  readonly maximum: number
}

/** When faults begin and how long they last. */
export interface FaultSchedule {
  /** Pause between the starts of two faults; shorter than most faults, so that faults overlap. */
  readonly pauseMilliseconds: Bounds
  /** Duration of a fault. */
  readonly durationMilliseconds: Bounds
  /** Number of faults in a series; a calm period follows once all of them have ended. */
  readonly seriesLength: number
  /** Duration of a calm period. */
  readonly calmMilliseconds: Bounds
}
