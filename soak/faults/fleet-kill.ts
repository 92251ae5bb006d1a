/**
 * Fault: all processes are killed at once.
 */
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Sends SIGKILL to every process, and starts all of them again at the end. */
export class FleetKill extends SoakFault {
  override readonly name = 'all processes killed'

  override async begin ({ nodes }: SoakFleet): ReturnType<SoakFault['begin']> {
    await Promise.all(nodes.map(node => node.kill()))
    return () => { for (const node of nodes) node.start() }
  }
}
