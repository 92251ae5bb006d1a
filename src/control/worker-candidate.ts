/**
 * A worker as placement sees it.
 */
import type { TaskSize } from '../schemas/task-size.js'

/** A worker with what is free. */
export interface WorkerCandidate {
  readonly id: string
  readonly rack: string
  readonly availabilityZone: string
  readonly capacity: TaskSize
  available: TaskSize
}
