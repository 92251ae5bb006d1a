/**
 * Planned change: an availability zone is taken out of service and returned.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** The platform's upper bound on the time from taking a zone out of service until no run starts there. */
const EVACUATION_BOUND_MILLISECONDS = 5_000

/** Takes a zone out of service and returns it at the end; checks that no run starts there after the bound. */
export class ZoneEvacuation extends SoakFault {
  override readonly name = 'zone evacuated'
  override readonly isPlanned = true
  private readonly _zonesOut = new Set<string>()

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const zone = this.pick(['a', 'b', 'c'], random)
    // The end of an evacuation returns the zone, so that another one of the same zone can't overlap it.
    if (this._zonesOut.has(zone)) return () => {}
    this._zonesOut.add(zone)
    fleet.record(`zone ${zone} taken out of service`)
    const outAt = Date.now()
    fleet.emulator.publish(`evacuate/${zone}`, {})
    return () => {
      const returnedAt = Date.now()
      this._zonesOut.delete(zone)
      fleet.emulator.publish(`evacuate/${zone}`, null)
      for (const { starts } of fleet.emulator.workerIncarnations.filter(worker => worker.zone === zone)) {
        const lateStarts = starts.filter(({ startedAt }) => startedAt > outAt + EVACUATION_BOUND_MILLISECONDS && startedAt < returnedAt && fleet.faultIntervals.isFaultFree(outAt, startedAt))
        for (const { task, run, startedAt } of lateStarts) fleet.ledger.findings.push(`${task}/${run}: started in zone ${zone}, ${startedAt - outAt} ms after it was taken out of service`)
      }
    }
  }
}
