/**
 * Plays series by hand and prints a table of the times between runs; fails if a task ran again too late, or had two runs at once.
 *
 * usage: print-series-table --mode single|all --fleet small|wide|split|gone|lagging|mixed --first SEED --series COUNT
 */
import { parseArgs } from 'node:util'
import type { EmulatedWorker } from '../../../stand-ins/emulator/emulated-worker.js'
import { describeSeries } from './describe-series.js'
import type { Disturbance } from './disturbance.js'
import { drawGoneSeries } from './draw-gone-series.js'
import { drawMixedSeries } from './draw-mixed-series.js'
import { drawSeries } from './draw-series.js'
import { drawWideSeries } from './draw-wide-series.js'
import { GONE_OWNER_ENDS } from './gone-owner-ends.js'
import { GONE_SILENCES } from './gone-silences.js'
import { OWNER_ENDS } from './owner-ends.js'
import { PartitionWithOwner } from './partition-with-owner.js'
import { playSeries } from './play-series.js'
import { seriesFindings } from './series-findings.js'
import type { SeriesPlan } from './series-plan.js'
import { SeriesTable } from './series-table.js'
import { WORKER_SILENCES } from './worker-silences.js'

const { values: { mode, fleet, first, series } } = parseArgs({ options: { mode: { type: 'string', default: 'single' }, fleet: { type: 'string', default: 'small' }, first: { type: 'string', default: '1' }, series: { type: 'string', default: '300' } } })

/** Draws the plan of a seed, from all kinds or from given ones. */
type DrawPlan = (seed: number, silences?: readonly Disturbance<readonly EmulatedWorker[]>[], ownerEnds?: readonly Disturbance<string>[]) => SeriesPlan

/** Draws by fleet; in `split` workers are alone with the owner, in `lagging` lists are older than in `gone`, in `mixed` there are tasks that don't last as well. */
const DRAWS = new Map<string, DrawPlan>([
  ['small', drawSeries], ['wide', (seed, silences, ownerEnds) => drawWideSeries(seed, silences, ownerEnds)], ['split', (seed, _silences, ownerEnds) => drawWideSeries(seed, [new PartitionWithOwner()], ownerEnds)],
  ['gone', (seed, silences, ownerEnds) => drawGoneSeries(seed, silences, ownerEnds)], ['lagging', (seed, silences, ownerEnds) => drawGoneSeries(seed, silences, ownerEnds, 'greater')],
  ['mixed', (seed, silences, ownerEnds) => drawMixedSeries(seed, silences, ownerEnds)]
])
const draw = DRAWS.get(fleet) ?? drawSeries

/** Kinds that come by turns in mode `single`. */
const IS_OF_GONE_WORKERS = fleet === 'gone' || fleet === 'lagging' || fleet === 'mixed'
const SILENCES = IS_OF_GONE_WORKERS ? GONE_SILENCES : WORKER_SILENCES
const ENDS_OF_OWNERS = IS_OF_GONE_WORKERS ? GONE_OWNER_ENDS : OWNER_ENDS

/** Returns the plan of a seed. In mode `single` the store doesn't fail, only the first owner ends, and the kinds come by turns. */
function planOf (seed: number): SeriesPlan {
  if (mode !== 'single') return draw(seed)
  const silence = SILENCES[seed % SILENCES.length]
  const ownerEnd = ENDS_OF_OWNERS[Math.floor(seed / SILENCES.length) % ENDS_OF_OWNERS.length]
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
