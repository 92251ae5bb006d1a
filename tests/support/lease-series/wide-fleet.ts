/**
 * A fleet of several pools, racks and zones.
 */
import { DisturbedFleet } from './disturbed-fleet.js'
import type { PlannedMachine } from './planned-machine.js'
import { SeriesFleet } from './series-fleet.js'

/** Each worker has a task, and room for those of its whole pool. */
export class WideFleet extends SeriesFleet {
  constructor (private readonly _machines: readonly PlannedMachine[]) {
    super()
  }

  override get tasks (): number {
    return this._machines.length
  }

  override create (seed: number, processes: readonly string[]): Promise<DisturbedFleet> {
    return DisturbedFleet.createFilled(seed, processes, this._machines)
  }

  override hasRoom ({ fleet: { nodes, emulator } }: DisturbedFleet): boolean {
    const reached = emulator.workerIncarnations.filter(({ address, isTerminated, isDisconnected }) => {
      const allowedCallers = emulator.faults.allowedCallers.get(address)
      return !isTerminated && !isDisconnected && (!allowedCallers || [...nodes.keys()].some(name => allowedCallers.has(name)))
    })
    const servedPools = new Set(reached.map(({ pool }) => pool))
    return this._machines.every(({ pool }) => servedPools.has(pool))
  }
}
