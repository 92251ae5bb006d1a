/**
 * What came of a run.
 */

/** Counts and findings of one seed. */
export interface SoakReport {
  readonly seed: number
  readonly jobs: number
  readonly accepted: number
  /** Answers by call and status. */
  readonly answers: ReadonlyMap<string, number>
  /** How often each fault came. */
  readonly faults: ReadonlyMap<string, number>
  readonly findings: readonly string[]
  /** Folder with the processes' logs. */
  readonly folder: string
}
