/**
 * Fault: the store compacts its topics.
 */
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Makes the store discard all records except the newest one of each key. */
export class HistoryCompaction extends SoakFault {
  override readonly name = 'history compacted'

  override async begin ({ emulator: { store } }: SoakFleet): ReturnType<SoakFault['begin']> {
    for (const topic of ['keyed.jobs', 'keyed.decisions', 'keyed.op', 'keyed.servers']) store.partition(topic).compact()
    return () => {}
  }
}
