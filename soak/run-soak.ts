/**
 * Command line of the soak test; for example, `npm run soak -- --first 1 --seeds 50` runs 50 seeds.
 */
import { writeFileSync } from 'node:fs'
import yargs from 'yargs'
import { REGRESSION_SEEDS } from './regression-seeds.js'
import { MixedShape } from './shapes/mixed-shape.js'
import { PanelShape } from './shapes/panel-shape.js'
import { StallingPanelShape } from './shapes/stalling-panel-shape.js'
import { SoakRun } from './soak-run.js'

/** Deployments by the name that selects them. */
const SHAPES = { mixed: MixedShape, panel: PanelShape, 'stalling-panel': StallingPanelShape }

const { first, seeds, regressions, shape: shapeName, only, seconds, processes, workers, callers } = await yargs(process.argv.slice(2)).options({
  first: { type: 'number', default: 1, describe: 'first seed' },
  seeds: { type: 'number', default: 1, describe: 'number of consecutive seeds, run one after the other' },
  regressions: { type: 'boolean', default: false, describe: 'run the seeds that have failed before, instead of --first and --seeds' },
  only: { type: 'array', string: true, default: [] as string[], describe: 'names of the faults of the shape to inject, if not all' },
  seconds: { type: 'number', default: 20, describe: 'duration of fault injection in each run' },
  shape: { choices: ['mixed', 'panel', 'stalling-panel'] as const, default: 'mixed' as const, describe: 'deployment and its faults: small with all kinds of faults, or the size of cms-panel with owners lost beside workers, or with processes that stall' },
  processes: { type: 'number', describe: 'number of system processes, if not that of the shape' },
  workers: { type: 'number', describe: 'number of emulated workers, if not that of the shape' },
  callers: { type: 'number', describe: 'number of callers, at most 16, if not that of the shape' }
}).strict().parse()

const formatCounts = (counts: ReadonlyMap<string, number>): string => [...counts].sort(([left], [right]) => left < right ? -1 : 1).map(([name, count]) => `${name}: ${count}`).join(', ')
let failedSeeds = 0
const selectedSeeds = regressions ? REGRESSION_SEEDS.map(({ seed }) => seed) : Array.from({ length: seeds }, (_, index) => first + index)
for (const seed of selectedSeeds) {
  const shape = new SHAPES[shapeName]()
  const sizes = { processes: processes ?? shape.sizes.processes, workers: workers ?? shape.sizes.workers, callers: callers ?? shape.sizes.callers }
  const report = await new SoakRun(seed, shape, { ...sizes, faultMilliseconds: seconds * 1_000, only }).run()
  if (report.findings.length > 0) failedSeeds += 1
  process.stdout.write(`seed ${seed}: ${report.findings.length} findings; ${report.accepted} of ${report.jobs} jobs accepted; ${formatCounts(report.responseCounts)}; faults: ${formatCounts(report.faultCounts)}\n`)
  for (const finding of report.findings.slice(0, 20)) process.stdout.write(`  ${finding}\n`)
  writeFileSync(`${report.folder}/findings.txt`, report.findings.map(finding => `${finding}\n`).join(''))
  if (report.findings.length > 0) process.stdout.write(`  logs: ${report.folder}\n`)
}
process.stdout.write(`${selectedSeeds.length} seeds, ${failedSeeds} with findings\n`)
process.exit(failedSeeds === 0 ? 0 : 1)
