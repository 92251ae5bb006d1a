/**
 * Input of a placement policy.
 */
import type { FleetTask } from '../schemas/fleet-task.js'
import type { TaskSize } from '../schemas/task-size.js'
import type { WorkerCandidate } from './worker-candidate.js'

/** Tasks, workers and limits as plain data. */
export interface TaskPlacementInput {
  /** Waiting tasks, oldest first. */
  readonly waiting: readonly FleetTask[]
  /** Running tasks that are not being stopped. */
  readonly running: readonly FleetTask[]
  /** Workers that may get tasks. */
  readonly workers: readonly WorkerCandidate[]
  /** Expected size of a task. */
  readonly expectedSize: (task: FleetTask) => TaskSize
  /** Share of a team. */
  readonly share: (team: string | null) => number
  /** Number of tasks that a team may still start within its upper limit. */
  readonly remainingLimit: (team: string | null) => number
  /** Whether a worker is in a cooldown after failures and gets no new tasks. */
  readonly isCoolingDown: (worker: string) => boolean
  /** Current time in epoch milliseconds. */
  readonly now: number
}
