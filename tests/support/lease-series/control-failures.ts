/**
 * The ways in which the platform's lists of VMs and its orders fail or lag behind.
 */
import { Disturbance } from './disturbance.js'
import type { DisturbedFleet } from './disturbed-fleet.js'
import { orderAboutMachine } from './order-about-machine.js'

/** Number of starts that are late at most. */
const LATE_STARTS = 4

class ListAway extends Disturbance<null> {
  override readonly name = 'lists away'
  override readonly end = 'given'

  override begin (disturbed: DisturbedFleet, _subject: null, until: number): void {
    const { virtualMachines } = disturbed.fleet.emulator.faults
    virtualMachines.isListAway = true
    disturbed.schedule(until, () => { virtualMachines.isListAway = false })
  }
}

class LateStarts extends Disturbance<null> {
  override readonly name = 'starts late'
  override readonly end = 'given'

  /** Starts from then on are as late as the disturbance is long. What waits for them isn't lost meanwhile. */
  override begin (disturbed: DisturbedFleet, _subject: null, until: number): void {
    const { faults } = disturbed.fleet.emulator
    faults.lateStartsReachSuccessors = true
    faults.lateStartMilliseconds = until - disturbed.now
    faults.lateStarts = LATE_STARTS
    disturbed.schedule(until, () => {
      faults.lateStarts = 0
      disturbed.schedule(disturbed.now + faults.lateStartMilliseconds, () => disturbed.calm.disturb())
    })
  }
}

class LateOrder extends Disturbance<null> {
  override readonly name = 'order to a VM late'
  override readonly end = 'given'

  /** The order is sent at the beginning, and carried out at the end, for the VM whose worker is the busiest by then. */
  override begin (disturbed: DisturbedFleet, _subject: null, until: number): void {
    disturbed.schedule(until, () => {
      const [busiest] = disturbed.busyWorkers.filter(({ isDisconnected }) => !isDisconnected).sort((left, right) => right.running.length - left.running.length)
      if (busiest) orderAboutMachine(disturbed, busiest)
    })
  }
}

/** All of them. */
export const CONTROL_FAILURES: readonly Disturbance<null>[] = [new ListAway(), new LateStarts(), new LateOrder()]
