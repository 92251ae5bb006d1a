/**
 * Seeds of soak runs that have failed before.
 */

/** A seed, with the cause of its failure. */
interface RegressionSeed {
  readonly seed: number
  readonly cause: string
}

/** Seeds that `npm run soak -- --regressions` runs, each with the default duration and sizes. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  { seed: 30, cause: 'a front end whose address was in use left its readiness server open, which blocked each of its restarts until the process exited' },
  { seed: 31, cause: 'SIGHUP terminated a process that was still loading its modules' },
  { seed: 302, cause: 'run completions of a worker\'s previous incarnation, written late, acknowledged completions of its next incarnation that no process had read (in a run of 10 s)' }
]
