/**
 * Fault: one worker crashes.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Terminates one worker without notice, and restarts it under the same ID at the end. */
export class WorkerCrash extends SoakFault {
  override readonly name = 'worker crashed'

  override async begin ({ workers, emulator }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const worker = this.pick(workers, random)
    emulator.crash(worker)
    return () => { if (emulator.isCurrent(worker)) emulator.restart(worker) }
  }
}
