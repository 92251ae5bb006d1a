/**
 * Fault: one process is disconnected from the store.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Drops the data of one process's connections to the store, in one direction or both, or refuses the connections. */
export class StoreDisconnection extends SoakFault {
  override readonly name = 'process disconnected from the store'

  override async begin ({ nodes, storeProxies }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const proxy = storeProxies.get(this.pick(nodes, random))
    if (!proxy) return () => {}
    proxy.mode = this.pick(['silent', 'mute', 'refuse'] as const, random)
    if (proxy.mode === 'refuse') proxy.reset()
    return () => { proxy.mode = 'open' }
  }
}
