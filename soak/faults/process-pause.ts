/**
 * Fault: one process is suspended.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Sends SIGSTOP to one process, and SIGCONT at the end. */
export class ProcessPause extends SoakFault {
  override readonly name = 'process paused'

  override async begin ({ nodes }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const node = this.pick(nodes, random)
    node.signal('SIGSTOP')
    return () => node.signal('SIGCONT')
  }
}
