/**
 * The ways in which workers end that the platform's lists of VMs show.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { EmulatedFleet } from '../emulated-fleet.js'
import { WorkerEnd } from './worker-end.js'

class LossOfPower extends WorkerEnd {
  override readonly name = 'has lost power'

  override end ({ emulator }: EmulatedFleet, worker: EmulatedWorker): void {
    emulator.outages.cutPower(worker)
  }
}

class LossOfMachine extends WorkerEnd {
  override readonly name = 'is gone with its VM'

  override end ({ emulator }: EmulatedFleet, worker: EmulatedWorker): void {
    emulator.outages.cutPower(worker)
    emulator.virtualMachines.byId.delete(worker.virtualMachine)
  }
}

class Move extends WorkerEnd {
  override readonly name = 'was moved by the last owner'

  override end ({ emulator }: EmulatedFleet, worker: EmulatedWorker): void {
    emulator.outages.cutPower(worker)
    Object.assign(emulator.virtualMachines.byId.get(worker.virtualMachine) ?? {}, { state: 'moving', worker: '' })
  }
}

class Replacement extends WorkerEnd {
  override readonly name = 'has a successor on its VM'

  override end ({ emulator }: EmulatedFleet, worker: EmulatedWorker): void {
    emulator.outages.cutPower(worker)
    Object.assign(emulator.virtualMachines.byId.get(worker.virtualMachine) ?? {}, { state: 'up', worker: 'i-successor' })
  }
}

/** All of them. */
export const WORKER_ENDS: readonly WorkerEnd[] = [new LossOfPower(), new LossOfMachine(), new Move(), new Replacement()]
