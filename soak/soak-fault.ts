/**
 * Base class of the faults and planned changes that the soak test injects.
 */
import type { RandomSource } from '../src/supervision/random-source.js'
import type { SoakFleet } from './soak-fleet.js'

/** A fault or planned change; subclasses define what it affects and how. */
export abstract class SoakFault {
  /** Name of the fault in the report. */
  abstract readonly name: string
  /** Whether this is a planned change, during which all guarantees hold. */
  readonly isPlanned: boolean = false

  /** Starts the fault; the returned function ends it. */
  abstract begin (fleet: SoakFleet, random: RandomSource): Promise<() => Promise<void> | void>

  /** Returns a random candidate. */
  protected pick<T> (candidates: readonly T[], random: RandomSource): T {
    const candidate = candidates[random.integer(candidates.length)]
    if (candidate === undefined) throw new Error(`${this.name}: no target for the fault`)
    return candidate
  }
}
