/**
 * Fault: the store refuses all calls.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Makes the store answer every call with status 503 or 429. */
export class StoreRefusal extends SoakFault {
  override readonly name = 'store refuses'

  override async begin ({ emulator }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    emulator.faults.refusalStatus = this.pick([503, 429], random)
    return () => { emulator.faults.refusalStatus = 0 }
  }
}
