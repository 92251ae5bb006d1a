/**
 * The state of a pool that decides whether a job can be served.
 */
import type { WorkRate } from '../jobs/work-rate.js'
import type { WaitingLane } from './waiting-lane.js'

/** As one process has read it from the journal. */
export interface PoolBacklog {
  /** Fleet time of the decision. */
  readonly now: number
  /** Time since the state was current, in milliseconds. */
  readonly ageMilliseconds: number
  /** The lane that the new job would wait in, or null if no job waits there. */
  readonly ownLane: WaitingLane | null
  /** Rate at which all work of the pool is taken up. */
  readonly rate: WorkRate
  /** All lanes of the pool, including that one. */
  readonly lanes: Iterable<Pick<WaitingLane, 'jobs'>>
}
