/**
 * Fault: workers execute starts late.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Maximum number of starts per fault. */
const MAXIMUM_STARTS = 6

/** Makes workers leave some starts without a response and execute them seconds later. */
export class LateStarts extends SoakFault {
  override readonly name = 'late starts'

  override async begin ({ emulator: { faults } }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    faults.lateStarts = 1 + random.integer(MAXIMUM_STARTS)
    return () => { faults.lateStarts = 0 }
  }
}
