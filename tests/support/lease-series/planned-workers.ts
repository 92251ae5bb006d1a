/**
 * Workers that are chosen before a series.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { DisturbedFleet } from './disturbed-fleet.js'
import type { PlannedMachine } from './planned-machine.js'
import { SilentWorkers } from './silent-workers.js'

/** Chooses the workers of given VMs: those that are there by then. */
export class PlannedWorkers extends SilentWorkers {
  /** @param _machineCount number of VMs of the fleet. */
  constructor (override readonly name: string, private readonly _machines: readonly PlannedMachine[], private readonly _machineCount: number) {
    super()
  }

  override choose ({ workers, fleet: { emulator } }: DisturbedFleet): EmulatedWorker[] {
    return this._machines.flatMap(machine => {
      const first = workers.get(machine)
      return emulator.workerIncarnations.find(({ virtualMachine, isTerminated }) => virtualMachine === first?.virtualMachine && !isTerminated) ?? first ?? []
    })
  }

  override toString (): string {
    return `${this.name}, ${this._machines.length} of ${this._machineCount} workers,`
  }
}
