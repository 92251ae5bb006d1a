/**
 * The outcome of a series of workers that start again.
 */

/** What was seen in a series. */
export interface RestartResult {
  /** Tasks with two runs at once, with the evidence that gave the earlier run up. */
  readonly findings: readonly { readonly violation: string, readonly cause: string, readonly trace: readonly string[] }[]
  /** Times from the losses of power until the tasks that ran on the workers ran again, in milliseconds; Infinity if they didn't. */
  readonly waits: readonly { readonly task: string, readonly run: number, readonly milliseconds: number }[]
  /** Number of runs started on incarnations that began in the series, and of calls on late connections. */
  readonly startsOnRestarted: number
  readonly lateConnections: number
  /** Number of late renewals that have reached the next incarnation of their worker. */
  readonly lateRenewals: number
}
