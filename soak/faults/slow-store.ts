/**
 * Fault: the store is slow.
 */
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Latency of each call during the fault: fifty times the ordinary one. */
const SLOW_STORE_LATENCY_MILLISECONDS = 200

/** Raises the latency of the store. */
export class SlowStore extends SoakFault {
  override readonly name = 'store slow'

  override async begin ({ emulator: { faults } }: SoakFleet): ReturnType<SoakFault['begin']> {
    const ordinaryLatency = faults.storeLatencyMilliseconds
    faults.storeLatencyMilliseconds = SLOW_STORE_LATENCY_MILLISECONDS
    return () => { faults.storeLatencyMilliseconds = ordinaryLatency }
  }
}
