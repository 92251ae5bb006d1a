/**
 * A worker as the placement policy sees it.
 */
import type { TaskSize } from '../schemas/task-size.js'

/** A worker with its capacity and the resources available on it. */
export interface WorkerCandidate {
  readonly id: string
  readonly rack: string
  readonly availabilityZone: string
  readonly capacity: TaskSize
  available: TaskSize
}
