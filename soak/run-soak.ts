/**
 * Runs the soak for some seeds: `npm run soak -- --first 1 --seeds 50`.
 */
import yargs from 'yargs'
import { REGRESSION_SEEDS } from './regression-seeds.js'
import { SoakRun } from './soak-run.js'

const { first, seeds, regressions, seconds, processes, workers, callers } = await yargs(process.argv.slice(2)).options({
  first: { type: 'number', default: 1, describe: 'first seed' },
  seeds: { type: 'number', default: 1, describe: 'number of seeds, one after the other' },
  regressions: { type: 'boolean', default: false, describe: 'the seeds that have failed once, in place of --first and --seeds' },
  seconds: { type: 'number', default: 20, describe: 'length of the faults of each run' },
  processes: { type: 'number', default: 6, describe: 'processes of the system' },
  workers: { type: 'number', default: 12, describe: 'emulated workers' },
  callers: { type: 'number', default: 8, describe: 'callers, 16 at most' }
}).strict().parse()

const list = (counts: ReadonlyMap<string, number>): string => [...counts].sort(([left], [right]) => left < right ? -1 : 1).map(([name, count]) => `${name}: ${count}`).join(', ')
let broken = 0
const chosen = regressions ? REGRESSION_SEEDS.map(({ seed }) => seed) : Array.from({ length: seeds }, (_, index) => first + index)
for (const seed of chosen) {
  const report = await new SoakRun(seed, { processes, workers, callers, milliseconds: seconds * 1_000 }).run()
  if (report.findings.length > 0) broken += 1
  process.stdout.write(`seed ${seed}: ${report.findings.length} findings; ${report.accepted} of ${report.jobs} jobs accepted; ${list(report.answers)}; faults: ${list(report.faults)}\n`)
  for (const finding of report.findings.slice(0, 20)) process.stdout.write(`  ${finding}\n`)
  if (report.findings.length > 0) process.stdout.write(`  logs: ${report.folder}\n`)
}
process.stdout.write(`${chosen.length} seeds, ${broken} with findings\n`)
process.exit(broken === 0 ? 0 : 1)
