/**
 * What decides on when a placement round runs.
 */
import type { OwnerPace } from '../scheduling/owner-pace.js'

/** The owner's pace, and how current its view is. */
export interface PlacementTiming {
  readonly pace: OwnerPace
  /** Returns the epoch milliseconds as of which the journal and the configuration are known. */
  readonly viewFreshAt: () => number
}
