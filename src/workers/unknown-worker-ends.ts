/**
 * The ends of workers where no platform tells of them.
 */
import { WorkerEnds } from '../workers/worker-ends.js'

/** Knows of no end: the runs of silent workers wait for the expiry of their leases. */
export class UnknownWorkerEnds extends WorkerEnds {
  override endOf (): null {
    return null
  }

  override isReplaced (): boolean {
    return false
  }

  override expectUntil (): void {}
}
