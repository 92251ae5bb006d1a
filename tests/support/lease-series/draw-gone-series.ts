/**
 * Draws plans of series in which workers have ended, come back or are ordered about, and the platform's lists of VMs tell it late or not at all.
 */
import { SeededRandomSource } from '../../../src/supervision/seeded-random-source.js'
import { CONTROL_FAILURES } from './control-failures.js'
import { Draw } from './draw.js'
import { drawWideSeries } from './draw-wide-series.js'
import { GONE_OWNER_ENDS } from './gone-owner-ends.js'
import { GONE_SILENCES } from './gone-silences.js'
import { ListLag } from './list-lag.js'
import { OWNER_ENDS } from './owner-ends.js'
import { RestartOfWorkers } from './restart-of-workers.js'
import type { SeriesPlan } from './series-plan.js'

/** Age of the rows of a list that the platform allows for, and range of a greater one, in milliseconds. */
const ALLOWED_AGE_MILLISECONDS = [0, 300] as const
const GREATER_AGE_MILLISECONDS = [1_000, 3_000] as const

/** Range of the time that a list takes, in milliseconds. */
const LIST_MILLISECONDS = [0, 300] as const

/** Ranges of the beginnings and the durations of failures of lists and orders, in milliseconds. */
const BEGIN_MILLISECONDS = [0, 14_000] as const
const FAILURE_MILLISECONDS = [2_000, 12_000] as const

/** Range of the time between the end of all processes and the restart of all workers, in milliseconds. */
const RESTART_MILLISECONDS = [-300, 300] as const

/** In one of so many series all processes end and all workers restart. */
const RESTART_OF_ALL_EVERY = 4

/** Workers that fall silent together, but for one of each pool; an owner's record names about as many workers as the fleet has. */
const EXTENTS = ['a rack', 'a zone', 'a pool', 'half of a pool', 'half of the fleet'] as const

/** Difference between the seed of the other disturbances and that of what a series draws of its own. */
const GONE_SEED = 2_000_000

/**
 * Draws the plan of a seed.
 *
 * @param lag whether lists are at most as old as the platform allows for.
 * @param createFleet creates the fleet of the VMs that are drawn.
 */
export function drawGoneSeries (seed: number, silences = GONE_SILENCES, ownerEnds = GONE_OWNER_ENDS, lag: 'allowed' | 'greater' = 'allowed', createFleet?: Parameters<typeof drawWideSeries>[4]): SeriesPlan {
  const draw = new Draw(new SeededRandomSource(GONE_SEED + seed))
  const age = draw.within(lag === 'allowed' ? ALLOWED_AGE_MILLISECONDS : GREATER_AGE_MILLISECONDS)
  const listMilliseconds = draw.within(LIST_MILLISECONDS)
  const lists = { kind: new ListLag(age, listMilliseconds), at: 0, until: Infinity }
  const failures = draw.items(CONTROL_FAILURES, draw.within([0, 2])).map(kind => draw.disturbance([kind], draw.within(BEGIN_MILLISECONDS), FAILURE_MILLISECONDS))
  const restartsAfter = draw.within(RESTART_MILLISECONDS)
  const restartsAll = draw.within([1, RESTART_OF_ALL_EVERY]) === 1
  const plan = drawWideSeries(seed, silences, restartsAll ? OWNER_ENDS.filter(({ name }) => name === 'all killed') : ownerEnds, EXTENTS, createFleet)
  const restart = { kind: new RestartOfWorkers(), at: Math.max(0, plan.ownerEnd.at + restartsAfter), until: Infinity }
  return { ...plan, others: [lists, ...failures, ...restartsAll ? [restart] : []] }
}
