/**
 * Fault: the responses of workers are late as lasting tasks begin.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Bounds of the lateness: longer than owners wait for the response to a start. */
const LATENESS_MILLISECONDS = { minimum: 650, maximum: 1_500 }

/** Time from the start of a lasting task during which responses are late. */
const SLOW_MILLISECONDS = 300

/** When a worker begins the next lasting task, delays the responses of all workers for a moment, as a machine does that is overloaded. */
export class LateResponsesAtStart extends SoakFault {
  override readonly name = 'responses late at a start'

  /** @param isPlanned whether all guarantees have to hold meanwhile, as on machines whose load nobody notices. */
  constructor (override readonly isPlanned: boolean) {
    super()
  }

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const { clock } = fleet
    const lateness = LATENESS_MILLISECONDS.minimum + random.integer(LATENESS_MILLISECONDS.maximum - LATENESS_MILLISECONDS.minimum)
    let ended = Promise.resolve()
    fleet.onLastingStart = task => {
      fleet.onLastingStart = () => {}
      const proxies = [...fleet.workerProxies.values()]
      fleet.record(`responses late by ${lateness} ms at the start of ${task}`)
      for (const proxy of proxies) proxy.responseDelayMilliseconds = lateness
      ended = clock.sleepUntil(clock.now() + SLOW_MILLISECONDS).then(() => { for (const proxy of proxies) proxy.responseDelayMilliseconds = 0 })
    }
    return async () => {
      fleet.onLastingStart = () => {}
      await ended
    }
  }
}
