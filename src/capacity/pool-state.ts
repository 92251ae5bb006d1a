/**
 * What a pool's size is decided from.
 */

/** One pool at one moment. */
export interface PoolSituation {
  readonly name: string
  /** VMs that take tasks, and those on their way in. */
  readonly size: number
  /** Least workers that the pool's lasting tasks need. */
  readonly floor: number
  /** Whether the pool can do without any worker for now: it has neither lasting tasks nor other work. */
  readonly isDispensable: boolean
  /** Processors that the pool's tasks want now, or will want at the present rate of arrivals, in millicores. */
  readonly wantedMillicores: number
  /** Processors of one worker of the pool, in millicores. */
  readonly workerMillicores: number
}
