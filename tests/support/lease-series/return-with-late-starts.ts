/**
 * Workers that come back as late starts arrive.
 */
import { Disturbance } from './disturbance.js'
import type { DisturbedFleet } from './disturbed-fleet.js'
import { restartWorker } from './restart-worker.js'

/** Time after which they are in the registry, so that no owner calls them before the starts arrive, in milliseconds. */
const REGISTRATION_MILLISECONDS = 1_000

/** Cuts the power of the workers whose starts are late, and starts them again under their IDs. */
export class ReturnWithLateStarts extends Disturbance<null> {
  override readonly name = 'these workers dark, back under their IDs'
  override readonly end = 'given'

  override begin (disturbed: DisturbedFleet, _subject: null, until: number): void {
    const { faults, outages, workerIncarnations } = disturbed.fleet.emulator
    const workers = workerIncarnations.filter(({ address, isTerminated }) => !isTerminated && faults.lateStartAddresses.has(address))
    for (const worker of workers) outages.cutPower(worker)
    disturbed.schedule(until, () => {
      faults.registrationMilliseconds = REGISTRATION_MILLISECONDS
      for (const worker of workers) restartWorker(disturbed, worker)
      faults.registrationMilliseconds = 0
    })
  }
}
