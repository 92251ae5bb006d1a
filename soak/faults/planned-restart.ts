/**
 * Planned change: a graceful restart of one process.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Sends SIGTERM to one process, and starts it again after its grace period at the latest. */
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
