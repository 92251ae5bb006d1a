/**
 * Planned change: a maintenance wave.
 */
import type { RandomSource } from '../../src/supervision/random-source.js'
import type { SoakFleet } from '../soak-fleet.js'
import { SoakFault } from '../soak-fault.js'

/** Probability that a VM is part of the wave. */
const SELECTION_PROBABILITY = 0.5

/** Publishes a wave over about half of the VMs, with at most two in maintenance at once. */
export class MaintenanceWave extends SoakFault {
  override readonly name = 'wave'
  override readonly isPlanned = true
  private _wave = 0

  override async begin ({ emulator }: SoakFleet, random: RandomSource): ReturnType<SoakFault['begin']> {
    this._wave += 1
    const virtualMachines = [...emulator.virtualMachines.byId.keys()].filter(() => random.next() < SELECTION_PROBABILITY)
    emulator.publish(`wave/${this._wave}`, { wave: this._wave, machines: virtualMachines, duration_s: 60, max_count: 2 })
    return () => {}
  }
}
