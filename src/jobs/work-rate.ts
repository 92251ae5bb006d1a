/**
 * Rate at which waiting work is taken up.
 */

/** Measured by one process from the records that it has read. */
export interface WorkRate {
  /** Estimated work placed or completed per time, in millicores times milliseconds per millisecond. */
  readonly millicores: number
  /** Number of tasks that the rate was measured over. */
  readonly tasks: number
  /** Ratio of the rate in the later half of the time to that in the earlier one; Infinity if there was none. It is above 1 while VMs join the pool. */
  readonly growthRatio: number
  /** Whether work that could have started was waiting all the time, so that the rate is what the workers can do and not what was asked of them. */
  readonly isSaturated: boolean
  /** The least work that has been waiting since VMs that were ordered for it would have joined the pool, in millicores times milliseconds. */
  readonly sustainedWork: number
}
