/**
 * Fault: several workers restart under their IDs.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Maximum fraction of the workers per fault. */
const MAXIMUM_WORKER_FRACTION = 0.4

/** Bounds of the time that a worker is without power. */
const DOWNTIME_MILLISECONDS = { minimum: 100, maximum: 2_000 }

/** Probability that the connections to the workers are cut from the loss of power until the end of the fault. */
const CUT_PROBABILITY = 0.5

/** Cuts the power of some workers, and restarts each of them soon after, in half of the cases behind a cut of their connections. */
export class WorkerRestarts extends SoakFault {
  override readonly name = 'workers restarted'

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const { emulator, clock, workerProxies } = fleet
    const fraction = random.next() * MAXIMUM_WORKER_FRACTION
    const workers = fleet.workers.filter(() => random.next() < fraction)
    const proxies = random.next() < CUT_PROBABILITY ? workers.flatMap(({ address }) => workerProxies.get(address) ?? []) : []
    const restartAt = clock.now() + DOWNTIME_MILLISECONDS.minimum + random.integer(DOWNTIME_MILLISECONDS.maximum - DOWNTIME_MILLISECONDS.minimum)
    fleet.record(`workers lose power${proxies.length > 0 ? ' behind a cut' : ''}: ${workers.map(({ id }) => id).join(' ')}`)
    for (const proxy of proxies) proxy.mode = 'silent'
    for (const worker of workers) emulator.outages.cutPower(worker)
    const restarted = clock.sleepUntil(restartAt).then(() => { for (const worker of workers) if (emulator.isCurrent(worker)) emulator.restart(worker) })
    return async () => {
      for (const proxy of proxies) proxy.mode = 'open'
      await restarted
    }
  }
}
