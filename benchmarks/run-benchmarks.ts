/**
 * Runs the named benchmarks, or all of them without names: `npm run benchmark -- [NAME…]`.
 */
import Table from 'cli-table3'
import type { Benchmark } from './benchmark.js'
import { ClaimsBenchmark } from './claims-benchmark.js'
import { DispatchBenchmark } from './dispatch-benchmark.js'
import { FailuresBenchmark } from './failures-benchmark.js'
import { GoodputBenchmark } from './goodput-benchmark.js'
import { InForceBenchmark } from './in-force-benchmark.js'
import { LimitsBenchmark } from './limits-benchmark.js'
import { MemberCostBenchmark } from './member-cost-benchmark.js'
import { MemoryBenchmark } from './memory-benchmark.js'
import { OwnerCostBenchmark } from './owner-cost-benchmark.js'
import { PlacementBenchmark } from './placement-benchmark.js'
import { RolloutBenchmark } from './rollout-benchmark.js'
import { SeededFaultsBenchmark } from './seeded-faults-benchmark.js'
import { SharesBenchmark } from './shares-benchmark.js'
import { StateSizeBenchmark } from './state-size-benchmark.js'
import { ZoneBenchmark } from './zone-benchmark.js'

const BENCHMARKS: readonly Benchmark[] = [
  new DispatchBenchmark(),
  new SharesBenchmark(),
  new GoodputBenchmark(),
  new LimitsBenchmark(),
  new ClaimsBenchmark(),
  new FailuresBenchmark(),
  new RolloutBenchmark(),
  new PlacementBenchmark(),
  new ZoneBenchmark(),
  new InForceBenchmark(),
  new MemberCostBenchmark(),
  new StateSizeBenchmark(),
  new MemoryBenchmark(),
  new OwnerCostBenchmark(),
  new SeededFaultsBenchmark()
]

function format (value: number | null): string {
  if (value === null) return ''
  return Number.isInteger(value) ? String(value) : value.toPrecision(4)
}

const names = process.argv.slice(2)
const unknownNames = names.filter(name => !BENCHMARKS.some(benchmark => benchmark.name === name))
if (unknownNames.length > 0) {
  console.error(`no such benchmark: ${unknownNames.join(', ')}; there are: ${BENCHMARKS.map(({ name }) => name).join(', ')}`)
  process.exit(2)
}
for (const benchmark of BENCHMARKS) {
  if (names.length > 0 && !names.includes(benchmark.name)) continue
  console.log(`${benchmark.name}: ${benchmark.summary}`)
  const table = new Table({ head: ['figure', 'value', 'naive way', 'target'], style: { head: [], border: [] } })
  for (const { figure, value, naive, target } of await benchmark.run()) table.push([figure, format(value), format(naive), target])
  console.log(table.toString())
}
process.exit(0)
