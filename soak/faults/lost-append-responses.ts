/**
 * Fault: responses to appends are lost.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Maximum number of appends per fault. */
const MAXIMUM_APPENDS = 8

/** Makes the store execute some appends without a response. */
export class LostAppendResponses extends SoakFault {
  override readonly name = 'append responses lost'

  override async begin ({ emulator: { faults } }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    faults.lostAppendResponses = 1 + random.integer(MAXIMUM_APPENDS)
    return () => { faults.lostAppendResponses = 0 }
  }
}
