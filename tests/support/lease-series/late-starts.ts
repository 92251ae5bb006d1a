/**
 * Starts that arrive late.
 */
import { Disturbance } from './disturbance.js'
import type { DisturbedFleet } from './disturbed-fleet.js'

/** Delays the starts that are sent to every second worker; the next incarnation under the ID of a worker carries them out as well. */
export class LateStarts extends Disturbance<null> {
  override readonly name: string
  override readonly end = 'given'

  constructor (private readonly _lateMilliseconds: number) {
    super()
    this.name = `starts on every second worker ${_lateMilliseconds} ms late`
  }

  override begin (disturbed: DisturbedFleet, _subject: null, until: number): void {
    const { faults, workerIncarnations } = disturbed.fleet.emulator
    faults.lateStartMilliseconds = this._lateMilliseconds
    faults.lateStartsReachSuccessors = true
    for (const [index, address] of [...new Set(workerIncarnations.map(({ address }) => address))].entries()) if (index % 2 === 0) faults.lateStartAddresses.add(address)
    disturbed.schedule(until, () => faults.lateStartAddresses.clear())
  }
}
