/**
 * Fault: connections to the store are delayed.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Maximum delay in each direction. */
const MAXIMUM_DELAY_MILLISECONDS = 150

/** Delays each chunk of data between one process and the store. */
export class DelayedConnections extends SoakFault {
  override readonly name = 'connections delayed'

  override async begin ({ nodes, storeProxies }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const proxy = storeProxies.get(this.pick(nodes, random))
    if (!proxy) return () => {}
    proxy.delayMilliseconds = 1 + random.integer(MAXIMUM_DELAY_MILLISECONDS)
    return () => { proxy.delayMilliseconds = 0 }
  }
}
