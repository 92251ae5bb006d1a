/**
 * A slow store.
 */
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Time that each answer takes, in milliseconds: fifty times the ordinary one. */
const SLOW_MILLISECONDS = 200

/** Answers after some hundred milliseconds. */
export class SlowStore extends SoakFault {
  override readonly name = 'store slow'

  override async begin ({ emulator: { faults } }: SoakFleet): ReturnType<SoakFault['begin']> {
    const before = faults.latencyMilliseconds
    faults.latencyMilliseconds = SLOW_MILLISECONDS
    return () => { faults.latencyMilliseconds = before }
  }
}
