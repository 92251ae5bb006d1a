/**
 * Base of the fleets of series.
 */
import type { DisturbedFleet } from './disturbed-fleet.js'

/** A fleet that is drawn before a series. */
export abstract class SeriesFleet {
  /** Number of its lasting tasks. */
  abstract readonly tasks: number

  /** Starts it and its lasting tasks. */
  abstract create (seed: number, processes: readonly string[]): Promise<DisturbedFleet>

  /** Whether workers that can be reached have room for all lasting tasks. */
  abstract hasRoom (fleet: DisturbedFleet): boolean
}
