/**
 * A number of busy workers.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { DisturbedFleet } from './disturbed-fleet.js'
import { SilentWorkers } from './silent-workers.js'

/** Chooses workers that run a task, then those that did at the start of the series. */
export class BusiestWorkers extends SilentWorkers {
  override readonly name = 'busy workers'

  constructor (private readonly _count: number) {
    super()
  }

  override choose ({ busyWorkers }: DisturbedFleet, firstBusyWorkers: readonly EmulatedWorker[]): EmulatedWorker[] {
    return [...new Set([...busyWorkers, ...firstBusyWorkers])].slice(0, this._count)
  }

  override toString (): string {
    return this._count === 1 ? 'a worker' : `${this._count} workers`
  }
}
