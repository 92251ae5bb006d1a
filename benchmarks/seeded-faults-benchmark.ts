/**
 * Benchmark that counts requests, faults and violations of simulated runs with random faults.
 */
import { chaosViolations } from '../tests/support/chaos-violations.js'
import { ChaosRunner } from '../tests/support/chaos-runner.js'
import { Benchmark } from './benchmark.js'
import type { ResultRow } from './result-row.js'

/** Number of seeds, starting with 1; the tests run the first of them. */
const SEEDS = 60

/** Simulated duration of a run. */
const RUN_MILLISECONDS = 60_000

/** Repeats the runs of tests/chaos.test.ts with more seeds. */
export class SeededFaultsBenchmark extends Benchmark {
  override readonly name = 'seeded-faults'
  override readonly summary = `entry processes with faults in random order, ${SEEDS} seeds, checked by what callers and endpoints observed`

  override async run (): Promise<ResultRow[]> {
    const outcomes = new Map<string, number>()
    let [requests, faults, violations] = [0, 0, 0]
    for (let seed = 1; seed <= SEEDS; seed++) {
      const runner = new ChaosRunner(seed)
      await runner.run(RUN_MILLISECONDS)
      requests += runner.sentRequests.length
      faults += runner.actionCount
      for (const { outcome } of runner.sentRequests) outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
      for (const [check, findings] of chaosViolations(runner)) {
        violations += findings.length
        console.error(`seed ${seed}: ${check}: ${findings[0]}`)
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
