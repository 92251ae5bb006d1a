/**
 * Result of a soak run.
 */

/** Counts and findings of a run. */
export interface SoakReport {
  readonly seed: number
  /** Number of jobs submitted. */
  readonly jobs: number
  /** Number of jobs accepted. */
  readonly accepted: number
  /** Number of responses by call and status; status 0 stands for no response. */
  readonly responseCounts: ReadonlyMap<string, number>
  /** Number of injections of each fault. */
  readonly faultCounts: ReadonlyMap<string, number>
  /** Violations of the system's guarantees; empty if the run passed. */
  readonly findings: readonly string[]
  /** Folder with the logs of the processes. */
  readonly folder: string
}
