/**
 * Input of the pool sizing for one pool.
 */

/** State of a pool at one moment. */
export interface PoolState {
  readonly name: string
  /** Number of VMs that run tasks, including those that are being moved into the pool. */
  readonly size: number
  /** Minimum number of workers that leaves the pool capacity beside its lasting tasks. */
  readonly minimumSize: number
  /** Whether the pool needs no worker for now: it has neither lasting tasks nor other work. */
  readonly isIdle: boolean
  /** Processors that the pool's tasks need now, or will need at the current rate of arrivals, in millicores. */
  readonly requiredMillicores: number
  /** Processors of one worker of the pool, in millicores. */
  readonly workerMillicores: number
}
