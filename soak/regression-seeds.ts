/**
 * Seeds that have failed once.
 */

/** A seed, with what it found. */
interface RegressionSeed {
  readonly seed: number
  readonly cause: string
}

/** Run with `npm run soak -- --regressions`, each for the default time and sizes. */
export const REGRESSION_SEEDS: readonly RegressionSeed[] = [
  { seed: 30, cause: 'a front end whose address was taken left its readiness server behind, met it at each restart, and the process ended' },
  { seed: 31, cause: 'SIGHUP ended a process that was still loading its modules' },
  { seed: 302, cause: 'ends of a worker\'s earlier life, written late, acknowledged ends of its next life that nobody had seen (played for 10 s)' }
]
