/**
 * Base of the fleets of series.
 */
import type { DisturbedFleet } from './disturbed-fleet.js'

/** A fleet that is drawn before a series. */
export abstract class SeriesFleet {
  /** Number of its tasks, which go on until the end of a series. */
  abstract readonly tasks: number

  /** Returns the kind of a task, by which a table tells them apart; empty if all are of one kind. */
  kindOf (_task: string): string {
    return ''
  }

  /** Whether a task is one of its own, rather than submitted meanwhile. */
  owns (_task: string): boolean {
    return true
  }

  /** Starts it and its tasks. */
  abstract create (seed: number, processes: readonly string[]): Promise<DisturbedFleet>

  /** Whether workers that can be reached have room for all tasks. */
  abstract hasRoom (fleet: DisturbedFleet): boolean
}
