/**
 * Workers cut off.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Largest share of workers in one fault. */
const MOST_SHARE = 0.5

/** Connections to some workers fall silent, in one direction or both; their runs go on. */
export class WorkerCut extends SoakFault {
  override readonly name = 'workers cut off'

  override async begin ({ workers, workerProxies }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const share = random.next() * MOST_SHARE
    const proxies = workers.filter(() => random.next() < share).flatMap(({ address }) => workerProxies.get(address) ?? [])
    for (const proxy of proxies) proxy.mode = this.pick(['silent', 'mute'] as const, random)
    return () => { for (const proxy of proxies) proxy.mode = 'open' }
  }
}
