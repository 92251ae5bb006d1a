/**
 * A process cut off from the store.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Its connections to the store fall silent, in one direction or both, or are refused. */
export class StoreCut extends SoakFault {
  override readonly name = 'process cut from the store'

  override async begin ({ nodes, storeProxies }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const proxy = storeProxies.get(this.pick(nodes, random))
    if (!proxy) return () => {}
    proxy.mode = this.pick(['silent', 'mute', 'refuse'] as const, random)
    if (proxy.mode === 'refuse') proxy.reset()
    return () => { proxy.mode = 'open' }
  }
}
