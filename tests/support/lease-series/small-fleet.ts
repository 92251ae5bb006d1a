/**
 * A fleet of one pool in one rack.
 */
import { DisturbedFleet } from './disturbed-fleet.js'
import { SeriesFleet } from './series-fleet.js'

/** Number of lasting tasks: they fit on two workers. */
const TASKS = 4

/** Most workers have no task. */
export class SmallFleet extends SeriesFleet {
  override readonly tasks = TASKS

  /** @param _clockRates rates of the workers' clocks. */
  constructor (private readonly _clockRates: readonly number[]) {
    super()
  }

  override create (seed: number, processes: readonly string[]): Promise<DisturbedFleet> {
    return DisturbedFleet.create(seed, processes, this._clockRates, TASKS)
  }

  override hasRoom ({ fleet: { emulator } }: DisturbedFleet): boolean {
    return emulator.workerIncarnations.some(({ isTerminated, isDisconnected, running }) => !isTerminated && !isDisconnected && running.length < 2)
  }
}
