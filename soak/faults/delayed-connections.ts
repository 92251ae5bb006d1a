/**
 * Slow connections to the store.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Longest delay in one direction, in milliseconds. */
const MOST_MILLISECONDS = 150

/** Each piece of data takes longer, for one process. */
export class DelayedConnections extends SoakFault {
  override readonly name = 'connections delayed'

  override async begin ({ nodes, storeProxies }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const proxy = storeProxies.get(this.pick(nodes, random))
    if (!proxy) return () => {}
    proxy.delayMilliseconds = 1 + random.integer(MOST_MILLISECONDS)
    return () => { proxy.delayMilliseconds = 0 }
  }
}
