/**
 * What placement goes by.
 */
import type { FleetTask } from '../schemas/fleet-task.js'
import type { TaskSize } from '../schemas/task-size.js'
import type { FreeWorker } from './free-worker.js'

/** The situation as plain data. */
export interface PlacementInput {
  /** Tasks that wait, oldest first. */
  readonly waiting: readonly FleetTask[]
  /** Tasks that run and are not being stopped. */
  readonly running: readonly FleetTask[]
  /** Workers that may be used. */
  readonly workers: readonly FreeWorker[]
  /** Size to reckon with for a task. */
  readonly expected: (task: FleetTask) => TaskSize
  /** Share of a team. */
  readonly share: (team: string | null) => number
  /** Tasks that a team may still start. */
  readonly room: (team: string | null) => number
  /** Workers on which a task must not be tried again for now. */
  readonly isAvoided: (worker: string) => boolean
  /** Epoch milliseconds. */
  readonly now: number
}
