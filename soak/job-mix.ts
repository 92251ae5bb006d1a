/**
 * Mix of the jobs that callers submit.
 */

/** Fractions and sizes of jobs. */
export interface JobMix {
  /** Fraction of jobs that run until cancelled, and the number of their tasks. */
  readonly lastingFraction: number
  readonly lastingTasks: number
  /** Whether the tasks of a lasting job run on workers of their own. */
  readonly spreadsLastingTasks: boolean
  /** Maximum number of tasks of the first step of an ordinary job. */
  readonly maximumTasks: number
  /** Fraction of accepted jobs that are submitted again, at any process, some seconds after the response. */
  readonly resubmittedFraction: number
  /** Pools of the jobs; the jobs of a caller go to one of them. */
  readonly pools: readonly string[]
}
