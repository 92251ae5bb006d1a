/**
 * A job that may be accepted, as the decision needs it.
 */
import type { JobAllowance } from '../jobs/job-allowance.js'
import type { Resources } from '../jobs/resources.js'

/** Times are in milliseconds. */
export interface JobCandidate {
  /** Resources that one task of each step uses. */
  readonly demands: readonly Resources[]
  /** Upper limit of the job's team, in which 0 means no limit; null for a job without a team. */
  readonly upperLimit: Resources | null
  /** Priority of its queue; 0 is the highest. */
  readonly priority: number
  /** Time in which the job is on time and of use; null if it can't be late, because it is timed, repeated or lasting, or its queue has no target. */
  readonly allowance: JobAllowance | null
  readonly criticalPathMilliseconds: number
  /** Estimated work, in millicores times milliseconds. */
  readonly work: number
}
