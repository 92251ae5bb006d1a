/**
 * Fault: the capacity of a worker shrinks while it runs.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Divides one worker's capacity by two to five, and restores it at the end. */
export class ShrinkingCapacity extends SoakFault {
  override readonly name = 'capacity shrunk'

  override async begin ({ workers, emulator }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const worker = this.pick(workers, random)
    const { capacity } = worker
    const divisor = 2 + random.integer(4)
    emulator.resize(worker, { cpu: Math.floor(capacity.cpu / divisor), mem_mb: Math.floor(capacity.mem_mb / divisor) })
    return () => { if (!worker.isTerminated) emulator.resize(worker, capacity) }
  }
}
