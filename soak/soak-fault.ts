/**
 * A kind of fault that the soak brings about.
 */
import type { RandomSource } from '../src/supervision/random-source.js'
import type { SoakFleet } from './soak-fleet.js'

/** Varies by what is harmed and how. */
export abstract class SoakFault {
  /** Name in the report. */
  abstract readonly name: string
  /** Whether the fault is planned work, beside which all promises hold. */
  readonly isPlanned: boolean = false

  /** Harms something of the fleet; the returned function ends it. */
  abstract begin (fleet: SoakFleet, random: RandomSource): Promise<() => Promise<void> | void>

  /** One of some things. */
  protected pick<T> (things: readonly T[], random: RandomSource): T {
    const thing = things[random.integer(things.length)]
    if (thing === undefined) throw new Error(`${this.name}: nothing to harm`)
    return thing
  }
}
