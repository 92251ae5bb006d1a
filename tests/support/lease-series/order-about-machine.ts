/**
 * Orders to VMs that no owner of a series has just sent.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { DisturbedFleet } from './disturbed-fleet.js'

/** Wave of which no owner knows. */
const UNKNOWN_WAVE = 1_000_000

/** Time after which the VM has its next worker, and a little more, in milliseconds. */
const MAINTAINED_MILLISECONDS = 2_050

/** Lets the VM of a worker be maintained, as by an order that arrives late. Its next worker has the same room. */
export function orderAboutMachine (disturbed: DisturbedFleet, { virtualMachine, capacity }: EmulatedWorker): void {
  const { emulator } = disturbed.fleet
  const token = emulator.virtualMachines.byId.get(virtualMachine)?.highestToken ?? 0
  emulator.virtualMachines.order('machine-upkeep', { machine: virtualMachine, wave: UNKNOWN_WAVE }, 'earlier', token)
  disturbed.schedule(disturbed.now + MAINTAINED_MILLISECONDS, () => {
    const next = emulator.workerIncarnations.find(worker => worker.virtualMachine === virtualMachine && emulator.isCurrent(worker) && !worker.isTerminated)
    if (next) emulator.resize(next, capacity)
  })
}
