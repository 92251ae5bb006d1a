/**
 * A partition that has an owner and some workers on one side, and the store with everything else on the other.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import { Disturbance } from './disturbance.js'
import type { DisturbedFleet } from './disturbed-fleet.js'

/** The owner isn't told by a worker of the other side that it has been replaced. If no process runs, the workers are cut off from all. */
export class PartitionWithOwner extends Disturbance<readonly EmulatedWorker[]> {
  override readonly name = 'alone with the owner'
  override readonly end = 'given'

  override begin (disturbed: DisturbedFleet, workers: readonly EmulatedWorker[], until: number): void {
    const { fleet, processes } = disturbed
    const { faults: { allowedCallers, disconnectedCallers }, workerIncarnations } = fleet.emulator
    const owner = fleet.owner()
    const others = new Set(processes.filter(name => name !== owner))
    disconnectedCallers.add(owner)
    for (const worker of workerIncarnations) allowedCallers.set(worker.address, workers.includes(worker) ? new Set([owner]) : others)
    disturbed.schedule(until, () => {
      disconnectedCallers.delete(owner)
      for (const { address } of workerIncarnations) allowedCallers.delete(address)
    })
  }
}
