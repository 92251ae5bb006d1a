/**
 * The ways in which an owner is cut off from the workers alone.
 */
import { Disturbance } from './disturbance.js'
import type { DisturbedFleet } from './disturbed-fleet.js'

class WorkerPartition extends Disturbance<string> {
  /** An owner that the store reaches stays the owner, so that no task can run as long as this lasts. */
  override readonly end = 'given'

  /**
   * @param _losesCalls whether its calls don't arrive.
   * @param _losesResponses whether it gets no responses.
   */
  constructor (override readonly name: string, private readonly _losesCalls: boolean, private readonly _losesResponses: boolean) {
    super()
  }

  override begin (disturbed: DisturbedFleet, owner: string, until: number): void {
    const { unheardCallers, unansweredCallers } = disturbed.fleet.emulator.faults
    const callers = [...this._losesCalls ? [unheardCallers] : [], ...this._losesResponses ? [unansweredCallers] : []]
    for (const lost of callers) lost.set(owner, 'workers')
    disturbed.schedule(until, () => {
      for (const lost of callers) lost.delete(owner)
      disturbed.calm.disturb()
    })
  }
}

/** All of them. */
export const WORKER_PARTITIONS: readonly Disturbance<string>[] = [
  new WorkerPartition('cut off from the workers', true, true), new WorkerPartition('calls to the workers lost', true, false), new WorkerPartition('responses of the workers lost', false, true)
]
