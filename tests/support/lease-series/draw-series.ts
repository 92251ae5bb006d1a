/**
 * Draws plans of series.
 */
import { SeededRandomSource } from '../../../src/supervision/seeded-random-source.js'
import { BusiestWorkers } from './busiest-workers.js'
import { Draw } from './draw.js'
import { OWNER_ENDS } from './owner-ends.js'
import type { SeriesPlan } from './series-plan.js'
import { SmallFleet } from './small-fleet.js'
import { STORE_FAILURES } from './store-failures.js'
import { WORKER_SILENCES } from './worker-silences.js'

/** Range of the beginnings, in milliseconds. */
const BEGIN_MILLISECONDS = [0, 12_000] as const

/** Range of the time between silence and owner's end in half of the series, in milliseconds. */
const NEAR_MILLISECONDS = [-1_500, 1_500] as const

/** Ranges of how long disturbances last, in milliseconds. */
const SILENCE_MILLISECONDS = [2_000, 15_000] as const
const OWNER_AWAY_MILLISECONDS = [1_000, 6_000] as const
const STORE_FAILURE_MILLISECONDS = [1_000, 8_000] as const

/** Ranges of when the next owners are killed and started again, in milliseconds. */
const OWNER_KILLED_MILLISECONDS = [100, 3_000] as const
const OWNER_RESTARTED_MILLISECONDS = [300, 3_000] as const

/** Largest number of next owners that are killed. */
const MAXIMUM_OWNER_KILLS = 3

/** Number of workers, and the rates of their clocks. */
const WORKERS = 5
const CLOCK_RATES = [0.98, 1, 1.02] as const

/**
 * Draws the plan of a seed: silence, owner's end, failure of the store and further ends of owners, at any distance of each other.
 *
 * @param silences the silences to draw from.
 * @param ownerEnds the owner's ends to draw from.
 */
export function drawSeries (seed: number, silences = WORKER_SILENCES, ownerEnds = OWNER_ENDS): SeriesPlan {
  const draw = new Draw(new SeededRandomSource(seed))
  const silentAt = draw.within(BEGIN_MILLISECONDS)
  const ownerEndsAt = draw.isTrue() ? Math.max(0, silentAt + draw.within(NEAR_MILLISECONDS)) : draw.within(BEGIN_MILLISECONDS)
  const storeFailsAt = draw.within(BEGIN_MILLISECONDS)
  const ownerKills = draw.isTrue() ? 0 : draw.within([1, MAXIMUM_OWNER_KILLS])
  return {
    seed,
    silence: draw.disturbance(silences, silentAt, SILENCE_MILLISECONDS),
    silentWorkers: new BusiestWorkers(draw.within([1, 2])),
    ownerEnd: draw.disturbance(ownerEnds, ownerEndsAt, OWNER_AWAY_MILLISECONDS),
    store: draw.isTrue() ? draw.disturbance(STORE_FAILURES, storeFailsAt, STORE_FAILURE_MILLISECONDS) : null,
    others: [],
    ownerKills: Array.from({ length: ownerKills }, () => ({ killAfter: draw.within(OWNER_KILLED_MILLISECONDS), restartAfter: draw.isTrue() ? Infinity : draw.within(OWNER_RESTARTED_MILLISECONDS) })),
    fleet: new SmallFleet(Array.from({ length: WORKERS }, () => draw.item(CLOCK_RATES)))
  }
}
