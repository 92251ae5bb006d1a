/**
 * Fault: one process is killed.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Sends SIGKILL to one process, and starts it again at the end. */
export class ProcessKill extends SoakFault {
  override readonly name = 'process killed'

  override async begin ({ nodes }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const node = this.pick(nodes, random)
    await node.kill()
    return () => node.start()
  }
}
