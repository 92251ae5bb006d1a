/**
 * Plays series by hand and prints a table of the times between runs; fails if a task ran again too late, or had two runs at once.
 *
 * usage: print-series-table --mode single|all --fleet small|wide|split --first SEED --series COUNT
 */
import { parseArgs } from 'node:util'
import { describeSeries } from './describe-series.js'
import { drawSeries } from './draw-series.js'
import { drawWideSeries } from './draw-wide-series.js'
import { OWNER_ENDS } from './owner-ends.js'
import { PartitionWithOwner } from './partition-with-owner.js'
import { playSeries } from './play-series.js'
import { seriesFindings } from './series-findings.js'
import type { SeriesPlan } from './series-plan.js'
import { SeriesTable } from './series-table.js'
import { WORKER_SILENCES } from './worker-silences.js'

const { values: { mode, fleet, first, series } } = parseArgs({ options: { mode: { type: 'string', default: 'single' }, fleet: { type: 'string', default: 'small' }, first: { type: 'string', default: '1' }, series: { type: 'string', default: '300' } } })

/** Draws by fleet; in `split` workers are alone with the owner. */
const DRAWS = new Map([['small', drawSeries], ['wide', drawWideSeries], ['split', (seed: number, _silences?: unknown, ownerEnds = OWNER_ENDS): SeriesPlan => drawWideSeries(seed, [new PartitionWithOwner()], ownerEnds)]])
const draw = DRAWS.get(fleet) ?? drawSeries

/** Returns the plan of a seed. In mode `single` the store doesn't fail, only the first owner ends, and the kinds come by turns. */
function planOf (seed: number): SeriesPlan {
  if (mode !== 'single') return draw(seed)
  const silence = WORKER_SILENCES[seed % WORKER_SILENCES.length]
  const ownerEnd = OWNER_ENDS[Math.floor(seed / WORKER_SILENCES.length) % OWNER_ENDS.length]
  return { ...draw(seed, silence && [silence], ownerEnd && [ownerEnd]), store: null, ownerKills: [] }
}

const table = new SeriesTable()
for (let seed = Number(first); seed < Number(first) + Number(series); seed++) {
  const plan = planOf(seed)
  const result = await playSeries(plan)
  table.add(plan, result)
  const findings = seriesFindings(result)
  if (findings.length === 0) continue
  process.exitCode = 1
  process.stdout.write(`${describeSeries(plan)}\n${findings.map(finding => `  ${finding}\n`).join('')}`)
}
process.stdout.write(`\n${table.toString()}\n`)
