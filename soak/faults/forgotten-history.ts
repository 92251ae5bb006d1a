/**
 * A store that forgets its history.
 */
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** The newest record of each key stays. */
export class ForgottenHistory extends SoakFault {
  override readonly name = 'history forgotten'

  override async begin ({ emulator: { store } }: SoakFleet): ReturnType<SoakFault['begin']> {
    for (const topic of ['keyed.jobs', 'keyed.decisions', 'keyed.op', 'keyed.servers']) store.partition(topic).compact()
    return () => {}
  }
}
