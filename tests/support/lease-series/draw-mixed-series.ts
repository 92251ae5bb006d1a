/**
 * Draws plans of series in which tasks that last and tasks that don't lose their workers, while starts are on their way.
 */
import { SeededRandomSource } from '../../../src/supervision/seeded-random-source.js'
import { drawGoneSeries } from './draw-gone-series.js'
import { Draw } from './draw.js'
import { GONE_OWNER_ENDS } from './gone-owner-ends.js'
import { GONE_SILENCES } from './gone-silences.js'
import { JobsMeanwhile } from './jobs-meanwhile.js'
import { LateStarts } from './late-starts.js'
import { MixedFleet } from './mixed-fleet.js'
import { OWNER_ENDS } from './owner-ends.js'
import { ReturnWithLateStarts } from './return-with-late-starts.js'
import type { SeriesPlan } from './series-plan.js'

/** Range of the time between two jobs, and time for which they are submitted, in milliseconds. */
const INTERVAL_MILLISECONDS = [200, 1_000] as const
const SUBMISSION_MILLISECONDS = 16_000

/** Ranges of how late starts are, within the lease that they ask for, and of the time around the owner's end in which they are sent, in milliseconds. */
const LATE_MILLISECONDS = [200, 4_500] as const
const SENT_BEFORE_MILLISECONDS = [100, 700] as const
const SENT_AFTER_MILLISECONDS = [100, 600] as const

/** The same if their workers come back as they arrive: late enough for the next owner to have seen in the lists that these have ended. */
const RETURN_INTERVAL_MILLISECONDS = [150, 300] as const
const RETURN_LATE_MILLISECONDS = [2_500, 4_500] as const

/** Time after the owner's end at which these workers lose power, and range of the time for which they are back when the last of the starts arrives, in milliseconds. */
const DARK_MILLISECONDS = 50
const BACK_MILLISECONDS = [0, 700] as const

/** Ends of owners after which a start without a response stays without one. */
const KILLS = OWNER_ENDS.filter(({ name }) => name === 'killed for good' || name === 'all killed')

/** Difference between the seed of the other disturbances and that of what a series draws of its own. */
const MIXED_SEED = 3_000_000

/** Draws the plan of a seed: the disturbances of the series of ended workers of this seed, jobs that are submitted meanwhile and, in half of the series, starts that arrive late, in a quarter as their workers are back. */
export function drawMixedSeries (seed: number, silences = GONE_SILENCES, ownerEnds = GONE_OWNER_ENDS): SeriesPlan {
  const draw = new Draw(new SeededRandomSource(MIXED_SEED + seed))
  const hasLateStarts = draw.isTrue()
  const hasReturns = hasLateStarts && draw.isTrue()
  const plan = drawGoneSeries(seed, silences, hasReturns ? KILLS : ownerEnds, 'allowed', machines => new MixedFleet(machines))
  const { at: ownerEndsAt } = plan.ownerEnd
  const jobs = { kind: new JobsMeanwhile(draw.within(hasReturns ? RETURN_INTERVAL_MILLISECONDS : INTERVAL_MILLISECONDS)), at: 0, until: SUBMISSION_MILLISECONDS }
  const late = draw.within(hasReturns ? RETURN_LATE_MILLISECONDS : LATE_MILLISECONDS)
  const lateStarts = { kind: new LateStarts(late), at: Math.max(0, ownerEndsAt - draw.within(SENT_BEFORE_MILLISECONDS)), until: ownerEndsAt + draw.within(SENT_AFTER_MILLISECONDS) }
  const workers = { kind: new ReturnWithLateStarts(), at: ownerEndsAt + DARK_MILLISECONDS, until: ownerEndsAt + late - draw.within(BACK_MILLISECONDS) }
  return { ...plan, others: [...plan.others, jobs, ...hasLateStarts ? [lateStarts] : [], ...hasReturns ? [workers] : []] }
}
