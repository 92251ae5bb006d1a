/**
 * A store that refuses everybody.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Answers 503 or 429 to every call. */
export class StoreRefusal extends SoakFault {
  override readonly name = 'store refuses'

  override async begin ({ emulator }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    emulator.faults.refusal = this.pick([503, 429], random)
    return () => { emulator.faults.refusal = 0 }
  }
}
