/**
 * A fleet of several pools with tasks that last and tasks that don't.
 */
import { DisturbedFleet } from './disturbed-fleet.js'
import { JOB_NAMES } from './job-names.js'
import type { PlannedMachine } from './planned-machine.js'
import { WideFleet } from './wide-fleet.js'

/** There are as many tasks of each kind as workers. */
export class MixedFleet extends WideFleet {
  constructor (private readonly _plannedMachines: readonly PlannedMachine[]) {
    super(_plannedMachines)
  }

  override get tasks (): number {
    return 2 * this._plannedMachines.length
  }

  override kindOf (task: string): string {
    if (!this.owns(task)) return 'submitted meanwhile'
    return JOB_NAMES.others.some(job => task.startsWith(job)) ? 'not lasting' : 'lasting'
  }

  override owns (task: string): boolean {
    return !task.startsWith(JOB_NAMES.meanwhilePrefix)
  }

  override create (seed: number, processes: readonly string[]): Promise<DisturbedFleet> {
    return DisturbedFleet.createFilled(seed, processes, this._plannedMachines, true)
  }
}
