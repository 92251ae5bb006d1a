/**
 * The return of a worker.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { DisturbedFleet } from './disturbed-fleet.js'

/** Starts the next incarnation of a worker on its VM, with the same ID, unless it has been started meanwhile or an order has moved the VM. */
export function restartWorker ({ fleet: { emulator } }: DisturbedFleet, worker: EmulatedWorker): EmulatedWorker | null {
  if (!emulator.isCurrent(worker) || emulator.virtualMachines.byId.get(worker.virtualMachine)?.state !== 'down') return null
  const restarted = emulator.restart(worker)
  restarted.clockRate = worker.clockRate
  return restarted
}
