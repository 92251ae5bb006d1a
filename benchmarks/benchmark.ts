/**
 * One benchmark.
 */
import type { ResultRow } from './result-row.js'

/** Measures one thing, with a naive way or an earlier one beside it in the same run. */
export abstract class Benchmark {
  /** Name on the command line. */
  abstract readonly name: string

  /** What is measured, in one line. */
  abstract readonly summary: string

  /** Runs it and returns the figures. */
  abstract run (): Promise<ResultRow[]>
}
