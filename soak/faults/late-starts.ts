/**
 * Starts that are carried out late.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Most starts in one fault. */
const MOST_STARTS = 6

/** Some starts get no answer and are carried out seconds later. */
export class LateStarts extends SoakFault {
  override readonly name = 'starts late'

  override async begin ({ emulator: { faults } }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    faults.lateStarts = 1 + random.integer(MOST_STARTS)
    return () => { faults.lateStarts = 0 }
  }
}
