/**
 * Base of the ways in which workers end.
 */
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import type { EmulatedFleet } from '../emulated-fleet.js'

/** A way in which a worker ends, together with what the platform's lists of VMs show of it from then on. */
export abstract class WorkerEnd {
  /** What has become of the worker, for the name of a test. */
  abstract readonly name: string

  /** Ends a worker. */
  abstract end (fleet: EmulatedFleet, worker: EmulatedWorker): void
}
