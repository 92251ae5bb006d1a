/**
 * Fault: connections are reset.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Probability that the connections to a worker are reset. */
const RESET_PROBABILITY = 0.5

/** Resets all connections to the store and about half of those to workers. */
export class ResetConnections extends SoakFault {
  override readonly name = 'connections reset'

  override async begin ({ storeProxies, workerProxies }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    for (const proxy of storeProxies.values()) proxy.reset()
    for (const proxy of workerProxies.values()) if (random.next() < RESET_PROBABILITY) proxy.reset()
    return () => {}
  }
}
