/**
 * Connections that something in between has lost track of.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Share of addresses whose connections fall silent. */
const SILENCED_SHARE = 0.5

/** Open connections fall silent for good while new ones work. */
export class StaleConnections extends SoakFault {
  override readonly name = 'connections silenced'

  override async begin ({ storeProxies, workerProxies }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    for (const proxy of [...storeProxies.values(), ...workerProxies.values()]) if (random.next() < SILENCED_SHARE) proxy.lose()
    return () => {}
  }
}
