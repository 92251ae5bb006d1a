/**
 * What a pool needs at one moment.
 */

/** Numbers of workers that a pool needs, each for its own kind of work and all kinds before it. */
export interface PoolNeeds {
  /** For lasting tasks, and for the work that waits or runs and can still be on time. */
  readonly onTime: number
  /** For as much work as will arrive until a VM that is ordered now has joined, if the arrivals keep growing. */
  readonly growth: number
  /** Besides, for work that will be late but of use. */
  readonly late: number
  /** Besides, for work that is of no use to its caller any more. */
  readonly obsolete: number
}
