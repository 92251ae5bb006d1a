/**
 * Waiting jobs that compete for the same workers, as the decision needs them.
 */
import type { WaitingJob } from '../jobs/waiting-job.js'
import type { WorkRate } from '../jobs/work-rate.js'

/** The waiting jobs of a queue and a team that need the same of a worker. */
export interface WaitingLane {
  /** Estimated work that waits, in millicores times milliseconds. */
  readonly unplacedWork: number
  readonly jobs: Iterable<Pick<WaitingJob, 'priority' | 'unplacedWork' | 'latestOnTimeStartAt' | 'latestUsefulStartAt'>>
  readonly rate: WorkRate
}
