/**
 * An availability zone that is taken out and back.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Time after which nothing starts in a zone that is out, in milliseconds, as the platform bounds it. */
const OUT_MILLISECONDS = 5_000

/** Nothing starts there from some seconds after it was taken out. */
export class ZoneOut extends SoakFault {
  override readonly name = 'zone out'
  override readonly isPlanned = true

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const zone = this.pick(['a', 'b', 'c'], random)
    const outAt = Date.now()
    fleet.emulator.publish(`evacuate/${zone}`, {})
    return () => {
      const backAt = Date.now()
      fleet.emulator.publish(`evacuate/${zone}`, null)
      for (const { starts } of fleet.emulator.lives.filter(worker => worker.zone === zone)) {
        const late = starts.filter(({ at }) => at > outAt + OUT_MILLISECONDS && at < backAt && fleet.calm.isCalm(outAt, at))
        for (const { task, run, at } of late) fleet.ledger.findings.push(`${task}/${run}: started in zone ${zone}, ${at - outAt} ms after it was taken out`)
      }
    }
  }
}
