/**
 * Fault: the owner is lost for a while.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Kills or suspends the process that calls the workers, or cuts it off from the store, the workers or both, and undoes it at the end. */
export class OwnerLoss extends SoakFault {
  override readonly name = 'owner lost'

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const owner = fleet.owner ?? this.pick(fleet.nodes, random)
    const { name, host } = owner.configuration
    const kind = this.pick(['killed', 'suspended', 'cut off from the store', 'cut off from the workers', 'cut off'] as const, random)
    fleet.record(`${name} ${kind}`)
    if (kind === 'killed') {
      await owner.kill()
      return () => owner.start()
    }
    if (kind === 'suspended') {
      owner.signal('SIGSTOP')
      return () => owner.signal('SIGCONT')
    }
    const storeProxy = fleet.storeProxies.get(owner)
    if (storeProxy && kind !== 'cut off from the workers') storeProxy.mode = this.pick(['silent', 'mute'] as const, random)
    const workerProxies = kind === 'cut off from the store' ? [] : [...fleet.workerProxies.values()]
    for (const proxy of workerProxies) proxy.blockedCallers.add(host)
    return () => {
      if (storeProxy) storeProxy.mode = 'open'
      for (const proxy of workerProxies) proxy.blockedCallers.delete(host)
    }
  }
}
