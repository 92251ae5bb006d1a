/**
 * What placement goes by.
 */
import type { FleetTask } from '../schemas/fleet-task.js'
import type { TaskSize } from '../schemas/task-size.js'
import type { WorkerCandidate } from './worker-candidate.js'

/** The situation as plain data. */
export interface TaskPlacementInput {
  /** Tasks that wait, oldest first. */
  readonly waiting: readonly FleetTask[]
  /** Tasks that run and are not being stopped. */
  readonly running: readonly FleetTask[]
  /** Workers that may be used. */
  readonly workers: readonly WorkerCandidate[]
  /** Size to reckon with for a task. */
  readonly expectedSize: (task: FleetTask) => TaskSize
  /** Share of a team. */
  readonly share: (team: string | null) => number
  /** Tasks that a team may still start. */
  readonly remainingLimit: (team: string | null) => number
  /** Workers on which a task must not be tried again for now. */
  readonly isCoolingDown: (worker: string) => boolean
  /** Epoch milliseconds. */
  readonly now: number
}
