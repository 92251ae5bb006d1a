/**
 * Fault: the workers of a zone are disconnected.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Cuts the workers of a zone off from everything else, so that their registry entries expire; their runs go on until their leases expire. */
export class ZoneDisconnection extends SoakFault {
  override readonly name = 'zone disconnected'

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const { emulator } = fleet
    const zone = this.pick(['a', 'b', 'c'], random)
    const workers = fleet.workers.filter(worker => worker.zone === zone)
    fleet.record(`workers of zone ${zone} cut off: ${workers.map(({ id }) => id).join(' ')}`)
    for (const worker of workers) emulator.outages.disconnect(worker)
    return () => { for (const worker of workers) emulator.outages.reconnect(worker) }
  }
}
