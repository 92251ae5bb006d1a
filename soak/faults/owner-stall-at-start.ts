/**
 * Fault: the owner stands still as lasting tasks begin.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Bounds of the duration of a stall: longer than owners wait for the response to a start. */
const STALL_MILLISECONDS = { minimum: 650, maximum: 1_700 }

/** Suspends the owner when a worker begins the next lasting task, so that it reads the response late. */
export class OwnerStallAtStart extends SoakFault {
  override readonly name = 'owner stalled at a start'

  /** @param isPlanned whether all guarantees have to hold during stalls, as on machines whose stalls nobody notices. */
  constructor (override readonly isPlanned: boolean) {
    super()
  }

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const { clock } = fleet
    const duration = STALL_MILLISECONDS.minimum + random.integer(STALL_MILLISECONDS.maximum - STALL_MILLISECONDS.minimum)
    let stalled = Promise.resolve()
    fleet.onLastingStart = task => {
      fleet.onLastingStart = () => {}
      const { owner } = fleet
      owner?.signal('SIGSTOP')
      fleet.record(`${owner?.configuration.name} stalls for ${duration} ms at the start of ${task}`)
      stalled = clock.sleepUntil(clock.now() + duration).then(() => owner?.signal('SIGCONT'))
    }
    return async () => {
      fleet.onLastingStart = () => {}
      await stalled
    }
  }
}
