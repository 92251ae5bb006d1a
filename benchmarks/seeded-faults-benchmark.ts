/**
 * Totals of seeded runs with faults in random order.
 */
import { chaosFindings } from '../tests/support/chaos-findings.js'
import { ChaosRunner } from '../tests/support/chaos-run.js'
import { Benchmark } from './benchmark.js'
import type { ResultRow } from './result-row.js'

/** Seeds run, from 1 on; the tests run the first of them. */
const SEEDS = 60

/** Simulated time of a run, in milliseconds. */
const RUN_MILLISECONDS = 60_000

/** The runs of tests/chaos.test.ts, with more seeds. */
export class SeededFaultsBenchmark extends Benchmark {
  override readonly name = 'seeded-faults'
  override readonly summary = `entry processes through faults in random order, ${SEEDS} seeds, judged by what callers and endpoints saw`

  override async run (): Promise<ResultRow[]> {
    const outcomes = new Map<string, number>()
    let [requests, faults, violations] = [0, 0, 0]
    for (let seed = 1; seed <= SEEDS; seed++) {
      const run = new ChaosRunner(seed)
      await run.run(RUN_MILLISECONDS)
      requests += run.sent.length
      faults += run.faults
      for (const { outcome } of run.sent) outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
      for (const [check, texts] of chaosFindings(run)) {
        violations += texts.length
        console.error(`seed ${seed}: ${check}: ${texts[0]}`)
      }
    }
    const row = (figure: string, value: number, target = ''): ResultRow => ({ figure, value, naive: null, target })
    return [
      row('violations', violations, '0'),
      row('requests', requests),
      row('faults and acts of operators', faults),
      ...[...outcomes].map(([outcome, count]) => row(`requests ${outcome}`, count))
    ]
  }
}
