/**
 * Estimate of the wait of a job.
 */

/** What an estimate was based on. */
export interface WaitEstimate {
  /** Estimated time until the job's tasks are placed, in milliseconds. */
  readonly waitMilliseconds: number
  /** Longest wait after which the job's result would still be of use, in milliseconds. */
  readonly usefulWaitMilliseconds: number
  /** Rate at which work of the same kind is taken up, in millicores. */
  readonly rateMillicores: number
}
