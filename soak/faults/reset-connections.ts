/**
 * Connections that are reset.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Share of workers whose connections break off. */
const RESET_SHARE = 0.5

/** All connections to the store and half of those to workers break off. */
export class ResetConnections extends SoakFault {
  override readonly name = 'connections reset'

  override async begin ({ storeProxies, workerProxies }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    for (const proxy of storeProxies.values()) proxy.reset()
    for (const proxy of workerProxies.values()) if (random.next() < RESET_SHARE) proxy.reset()
    return () => {}
  }
}
