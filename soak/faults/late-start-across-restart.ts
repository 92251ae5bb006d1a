/**
 * Fault: the next incarnation of a worker executes starts that were meant for the former one.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Bounds of the lateness of a start, and of the time from the restart until it is executed. */
const LATENESS_MILLISECONDS = { minimum: 2_000, maximum: 9_000 }
const LEAD_MILLISECONDS = { minimum: 1, maximum: 300 }

/** Time for which the starts that a worker gets are late, after which it loses power. */
const POWER_LOSS_MILLISECONDS = 300

/** Leaves the starts of one worker without a response, cuts its power, and restarts it under its ID just before the starts are executed. */
export class LateStartAcrossRestart extends SoakFault {
  override readonly name = 'late starts across a restart'

  override async begin ({ workers, emulator, clock }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const worker = this.pick(workers, random)
    const { faults } = emulator
    const lateness = this._draw(LATENESS_MILLISECONDS, random)
    const restartAt = clock.now() + lateness - this._draw(LEAD_MILLISECONDS, random)
    Object.assign(faults, { lateStartMilliseconds: lateness, lateStartsReachSuccessors: true })
    faults.lateStartAddresses.add(worker.address)
    await clock.sleepUntil(clock.now() + POWER_LOSS_MILLISECONDS)
    faults.lateStartAddresses.delete(worker.address)
    emulator.outages.cutPower(worker)
    const restarted = clock.sleepUntil(restartAt).then(() => { if (emulator.isCurrent(worker)) emulator.restart(worker) })
    return () => restarted
  }

  private _draw ({ minimum, maximum }: { readonly minimum: number, readonly maximum: number }, random: RandomSource): number {
    return minimum + random.integer(maximum - minimum)
  }
}
