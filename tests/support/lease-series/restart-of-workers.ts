/**
 * A restart of all workers.
 */
import { Disturbance } from './disturbance.js'
import type { DisturbedFleet } from './disturbed-fleet.js'

/** Restarts, at once and under their IDs, all workers that are neither silent nor gone. */
export class RestartOfWorkers extends Disturbance<null> {
  override readonly name = 'all other workers restarted'
  override readonly end = 'none'

  override begin ({ fleet: { emulator } }: DisturbedFleet): void {
    for (const worker of [...emulator.workerIncarnations]) {
      if (worker.isTerminated || worker.isDisconnected) continue
      worker.terminate()
      emulator.restart(worker).clockRate = worker.clockRate
    }
  }
}
