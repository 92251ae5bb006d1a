/**
 * Fault: several processes stand still, as on an overloaded machine.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Bounds of the duration of a stall, and the longest time until it begins. */
const STALL_MILLISECONDS = { minimum: 500, maximum: 3_000 }
const MAXIMUM_DELAY_MILLISECONDS = 1_000

/** Probability that a process stalls. */
const STALL_PROBABILITY = 0.5

/** Suspends about half of the processes for a time of its own each. */
export class ProcessStalls extends SoakFault {
  override readonly name = 'processes stalled'

  /** @param isPlanned whether all guarantees have to hold during stalls, as on machines whose stalls nobody notices. */
  constructor (override readonly isPlanned: boolean) {
    super()
  }

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const { nodes, clock } = fleet
    const stalls = nodes.filter(() => random.next() < STALL_PROBABILITY).map(async node => {
      const delay = random.integer(MAXIMUM_DELAY_MILLISECONDS)
      const duration = STALL_MILLISECONDS.minimum + random.integer(STALL_MILLISECONDS.maximum - STALL_MILLISECONDS.minimum)
      await clock.sleepUntil(clock.now() + delay)
      fleet.record(`${node.configuration.name} stalls for ${duration} ms`)
      node.signal('SIGSTOP')
      await clock.sleepUntil(clock.now() + duration)
      node.signal('SIGCONT')
    })
    return async () => { await Promise.all(stalls) }
  }
}
