/**
 * Base of the choices of the workers that fall silent in a series.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { DisturbedFleet } from './disturbed-fleet.js'

/** Which workers fall silent together. */
export abstract class SilentWorkers {
  /** What they have in common. */
  abstract readonly name: string

  /**
   * Returns them when they fall silent.
   *
   * @param firstBusyWorkers workers that ran a task when the series began.
   */
  abstract choose (fleet: DisturbedFleet, firstBusyWorkers: readonly EmulatedWorker[]): EmulatedWorker[]

  abstract toString (): string
}
