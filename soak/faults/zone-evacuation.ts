/**
 * Planned change: an availability zone is taken out of service and returned.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** The platform's upper bound on the time from taking a zone out of service until no run starts there. */
const EVACUATION_BOUND_MILLISECONDS = 5_000

/** Checks that no run starts in the zone after the bound. */
export class ZoneEvacuation extends SoakFault {
  override readonly name = 'zone evacuated'
  override readonly isPlanned = true

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const zone = this.pick(['a', 'b', 'c'], random)
    const outAt = Date.now()
    fleet.emulator.publish(`evacuate/${zone}`, {})
    return () => {
      const returnedAt = Date.now()
      fleet.emulator.publish(`evacuate/${zone}`, null)
      for (const { starts } of fleet.emulator.workerIncarnations.filter(worker => worker.zone === zone)) {
        const lateStarts = starts.filter(({ startedAt: at }) => at > outAt + EVACUATION_BOUND_MILLISECONDS && at < returnedAt && fleet.faultIntervals.isFaultFree(outAt, at))
        for (const { task, run, startedAt: at } of lateStarts) fleet.ledger.findings.push(`${task}/${run}: started in zone ${zone}, ${at - outAt} ms after it was taken out of service`)
      }
    }
  }
}
