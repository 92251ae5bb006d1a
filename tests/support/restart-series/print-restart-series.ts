/**
 * Plays series of workers that start again by hand, prints what was found and how long tasks waited; fails if a task had two runs at once.
 *
 * usage: print-restart-series --mode prompt|late|takeovers --first SEED --series COUNT [--trace]
 */
import { parseArgs } from 'node:util'
import { describeRestartPlan } from './describe-restart-plan.js'
import { drawRestartPlan } from './draw-restart-plan.js'
import { RestartPlayer } from './restart-player.js'

const { values: { mode, first, series, trace } } = parseArgs({ options: { mode: { type: 'string', default: 'prompt' }, first: { type: 'string', default: '1' }, series: { type: 'string', default: '150' }, trace: { type: 'boolean', default: false } } })

/** Wait above which a task is named, in milliseconds. */
const LONG_WAIT_MILLISECONDS = 9_000

const seedsByCause = new Map<string, Set<number>>()
const waits: number[] = []
const longWaits: string[] = []
let startsOnRestarted = 0
let lateConnections = 0
let lateRenewals = 0
for (let seed = Number(first); seed < Number(first) + Number(series); seed++) {
  const plan = drawRestartPlan(seed, mode === 'late' || mode === 'takeovers' ? mode : 'prompt')
  const result = await RestartPlayer.play(plan)
  startsOnRestarted += result.startsOnRestarted
  lateConnections += result.lateConnections
  lateRenewals += result.lateRenewals
  if (!plan.owner && !plan.lateStarts) waits.push(...result.waits.map(({ milliseconds }) => milliseconds))
  if (!plan.owner && !plan.lateStarts) for (const { task, run, milliseconds } of result.waits) if (milliseconds > LONG_WAIT_MILLISECONDS) longWaits.push(`${seed} ${task}/${run} ${milliseconds / 1_000}`)
  if (result.findings.length === 0) continue
  process.exitCode = 1
  process.stdout.write(`${describeRestartPlan(plan)}\n`)
  for (const finding of result.findings) {
    seedsByCause.set(finding.cause, (seedsByCause.get(finding.cause) ?? new Set()).add(seed))
    process.stdout.write(`  ${finding.violation}; given up by: ${finding.cause}\n${trace ? finding.trace.map(line => `    ${line}\n`).join('') : ''}`)
  }
}
const sorted = waits.filter(milliseconds => milliseconds < Infinity).sort((left, right) => left - right)
const seconds = (share: number): string => ((sorted[Math.floor((sorted.length - 1) * share)] ?? NaN) / 1_000).toFixed(2)
const seeds = new Set([...seedsByCause.values()].flatMap(found => [...found]))
process.stdout.write(`\n${mode}, seeds ${first} to ${Number(first) + Number(series) - 1}: ${seeds.size} with two runs at once; ${startsOnRestarted} starts on restarted workers, ${lateConnections} calls on late connections, ${lateRenewals} late renewals on next incarnations\n`)
for (const [cause, found] of seedsByCause) process.stdout.write(`  ${cause || 'not given up'}: ${[...found].join(' ')}\n`)
process.stdout.write(`waits (owner stays, no late start): ${sorted.length}, and ${waits.length - sorted.length} of tasks that didn't run again, as those of jobs that were given up; median ${seconds(0.5)} s, 90% ${seconds(0.9)} s, longest ${seconds(1)} s\n`)
for (const wait of longWaits) process.stdout.write(`  ${wait} s\n`)
