/**
 * Fault: calls to some workers are executed late.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Bounds of the lateness, as the platform describes it. */
const LATENESS_MILLISECONDS = { minimum: 2_000, maximum: 12_000 }

/** Maximum fraction of the workers per fault, and maximum time for which their calls are late. */
const MAXIMUM_WORKER_FRACTION = 0.3
const MAXIMUM_MILLISECONDS = 2_000

/** Delivers the calls of a short time seconds later, without a response, to the incarnations that are there then. */
export class LateCalls extends SoakFault {
  override readonly name = 'late calls'

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const { clock, workerProxies } = fleet
    const fraction = random.next() * MAXIMUM_WORKER_FRACTION
    const workers = fleet.workers.filter(() => random.next() < fraction)
    const lateness = LATENESS_MILLISECONDS.minimum + random.integer(LATENESS_MILLISECONDS.maximum - LATENESS_MILLISECONDS.minimum)
    const proxies = workers.flatMap(({ address }) => workerProxies.get(address) ?? [])
    fleet.record(`calls late by ${lateness} ms: ${workers.map(({ id }) => id).join(' ')}`)
    for (const proxy of proxies) Object.assign(proxy, { latenessMilliseconds: lateness, mode: 'late' })
    await clock.sleepUntil(clock.now() + random.integer(MAXIMUM_MILLISECONDS))
    for (const proxy of proxies) if (proxy.mode === 'late') proxy.mode = 'open'
    // The fault lasts until the last of the calls has been delivered.
    const delivered = clock.sleepUntil(clock.now() + lateness)
    return () => delivered
  }
}
