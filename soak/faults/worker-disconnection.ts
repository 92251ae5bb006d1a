/**
 * Fault: some workers are disconnected.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Maximum fraction of the workers per fault. */
const MAXIMUM_WORKER_FRACTION = 0.5

/** Drops the data of connections to some workers, in one direction or both; their runs continue. */
export class WorkerDisconnection extends SoakFault {
  override readonly name = 'workers disconnected'

  override async begin ({ workers, workerProxies }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const fraction = random.next() * MAXIMUM_WORKER_FRACTION
    const proxies = workers.filter(() => random.next() < fraction).flatMap(({ address }) => workerProxies.get(address) ?? [])
    for (const proxy of proxies) proxy.mode = this.pick(['silent', 'mute'] as const, random)
    return () => { for (const proxy of proxies) proxy.mode = 'open' }
  }
}
