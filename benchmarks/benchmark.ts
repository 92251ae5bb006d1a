/**
 * Base class of the benchmarks.
 */
import type { ResultRow } from './result-row.js'

/** A benchmark that measures the system and, where there is one, a naive baseline in the same run. */
export abstract class Benchmark {
  /** Name by which the command line selects the benchmark. */
  abstract readonly name: string

  /** One-line description of what is measured. */
  abstract readonly summary: string

  /** Runs the benchmark and returns its results. */
  abstract run (): Promise<ResultRow[]>
}
