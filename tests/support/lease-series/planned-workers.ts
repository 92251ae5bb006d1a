/**
 * Workers that are chosen before a series.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { DisturbedFleet } from './disturbed-fleet.js'
import type { PlannedMachine } from './planned-machine.js'
import { SilentWorkers } from './silent-workers.js'

/** Chooses the workers of given VMs. */
export class PlannedWorkers extends SilentWorkers {
  /** @param _machineCount number of VMs of the fleet. */
  constructor (override readonly name: string, private readonly _machines: readonly PlannedMachine[], private readonly _machineCount: number) {
    super()
  }

  override choose (fleet: DisturbedFleet): EmulatedWorker[] {
    return this._machines.flatMap(machine => fleet.workers.get(machine) ?? [])
  }

  override toString (): string {
    return `${this.name}, ${this._machines.length} of ${this._machineCount} workers,`
  }
}
