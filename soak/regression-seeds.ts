/**
 * Seeds of soak runs that have failed before.
 */

/** A seed, with the cause of its failure, and the options of its run that aren't the defaults. */
interface RegressionSeed {
  readonly seed: number
  readonly cause: string
  readonly shape?: 'mixed' | 'panel' | 'stalling-panel'
  readonly only?: readonly string[]
  readonly seconds?: number
  readonly processes?: number
  readonly workers?: number
  readonly callers?: number
}

/** Seeds that `npm run soak -- --regressions` runs. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  { seed: 30, cause: 'a front end whose address was in use left its readiness server open, which blocked each of its restarts until the process exited' },
  { seed: 31, cause: 'SIGHUP terminated a process that was still loading its modules' },
  { seed: 302, cause: 'run completions of a worker\'s previous incarnation, written late, acknowledged completions of its next incarnation that no process had read (in a run of 10 s)' },
  { seed: 4003, shape: 'stalling-panel', only: ['responses late at a start'], seconds: 30, processes: 3, workers: 24, callers: 4, cause: 'the owner stopped the runs of a lasting step whose starts had no response within 600 ms, beyond what the step may miss' }
]
