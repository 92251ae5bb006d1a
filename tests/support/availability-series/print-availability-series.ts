/**
 * Plays series in which lasting tasks are moved about by hand and prints what was found; fails if the system's own actions ended more tasks of a step at a time than it may miss.
 *
 * usage: print-availability-series --first SEED --series COUNT [--trace]
 */
import { parseArgs } from 'node:util'
import { AvailabilityPlayer } from './availability-player.js'
import { drawAvailabilityPlan } from './draw-availability-plan.js'

const { values: { first, series, trace } } = parseArgs({ options: { first: { type: 'string', default: '1' }, series: { type: 'string', default: '100' }, trace: { type: 'boolean', default: false } } })

const seeds = new Set<number>()
const sums = { findings: 0, forbiddenRuns: 0, orders: 0, stops: 0, lapses: 0 }
for (let seed = Number(first); seed < Number(first) + Number(series); seed++) {
  const plan = drawAvailabilityPlan(seed)
  const result = await AvailabilityPlayer.play(plan)
  sums.findings += result.findings.length
  sums.forbiddenRuns += result.forbiddenRuns.length
  sums.orders += result.orders
  sums.stops += result.stops
  sums.lapses += result.lapses
  for (const forbidden of result.forbiddenRuns) process.stdout.write(`${seed} ${forbidden}\n`)
  if (result.findings.length === 0) continue
  process.exitCode = 1
  seeds.add(seed)
  process.stdout.write(`${seed} leases of ${plan.maximumLeaseMilliseconds} ms; owner ${plan.owners.map(({ kind, at, until }) => `${kind.name} ${at}-${until}`).join(', ')}; stalls ${plan.stalls.map(({ process: index, at, milliseconds }) => `${index} ${at}-${at + milliseconds}`).join(', ')}; workers ${plan.outages.map(({ kind, at, until }) => `${kind.name} ${at}-${until}`).join(', ')}\n`)
  for (const finding of result.findings) process.stdout.write(`  ${finding.violation}\n${trace ? finding.trace.map(line => `    ${line}\n`).join('') : ''}`)
}
process.stdout.write(`seeds ${first} to ${Number(first) + Number(series) - 1}: ${seeds.size} with findings (${[...seeds].join(' ')}); ${JSON.stringify(sums)}\n`)
