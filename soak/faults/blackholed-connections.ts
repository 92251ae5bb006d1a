/**
 * Fault: open connections are blackholed, as by a middlebox that has lost their state.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Probability that the connections to an address are blackholed. */
const BLACKHOLE_PROBABILITY = 0.5

/** Drops all further data of open connections; new connections work. */
export class BlackholedConnections extends SoakFault {
  override readonly name = 'connections blackholed'

  override async begin ({ storeProxies, workerProxies }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    for (const proxy of [...storeProxies.values(), ...workerProxies.values()]) if (random.next() < BLACKHOLE_PROBABILITY) proxy.blackhole()
    return () => {}
  }
}
