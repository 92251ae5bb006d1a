/**
 * Appends whose answers are lost.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Most appends in one fault. */
const MOST_APPENDS = 8

/** The store carries some appends out and says nothing. */
export class LostAnswers extends SoakFault {
  override readonly name = 'answers lost'

  override async begin ({ emulator: { faults } }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    faults.lostAnswers = 1 + random.integer(MOST_APPENDS)
    return () => { faults.lostAnswers = 0 }
  }
}
