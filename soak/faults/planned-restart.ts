/**
 * A process that is restarted in good order.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** SIGTERM to one process; it is gone within its grace time and starts again. */
export class PlannedRestart extends SoakFault {
  override readonly name = 'planned restart'
  override readonly isPlanned = true

  override async begin (fleet: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    const running = fleet.nodes.filter(({ isRunning, isStopping }) => isRunning && !isStopping)
    if (running.length === 0) return () => {}
    const restarted = fleet.restart(this.pick(running, random))
    return () => restarted
  }
}
