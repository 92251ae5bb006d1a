/**
 * Tests of how soon tasks run again, those that last and those that don't, after their workers and their owner were lost while starts were on their way.
 */
import { expect, test } from 'vitest'
import { describeSeries } from './support/lease-series/describe-series.js'
import { drawMixedSeries } from './support/lease-series/draw-mixed-series.js'
import { playSeries } from './support/lease-series/play-series.js'
import { seriesFindings } from './support/lease-series/series-findings.js'

/** Seeds of series: the first ones in which nothing waits for a lease, of which the first one has two runs at once if all inherited starts count as accepted, and those in which tasks that don't last wait too long unless the owner's record tells of their starts. */
const SEEDS = [1, 2, 4, 5]
const SEEDS_WITH_INHERITED_STARTS = [3, 20, 28]

/** Time that a test may take, in milliseconds. */
const TIMEOUT_MILLISECONDS = 60_000

async function expectNoFindings (seed: number): Promise<void> {
  const plan = drawMixedSeries(seed)
  const findings = seriesFindings(await playSeries(plan))
  expect(findings, [describeSeries(plan), ...findings].join('\n')).toEqual([])
}

test.each(SEEDS)('tasks that last and tasks that don\'t are not lost, and don\'t run twice at once, when starts are on their way to workers that end (mixed series of seed %i)', { timeout: TIMEOUT_MILLISECONDS }, expectNoFindings)

// Guards against a wait for the lease because only the rows of lasting tasks say that their starts were accepted.
test.each(SEEDS_WITH_INHERITED_STARTS)('tasks that don\'t last are not lost when their owner and their workers are, and run once only (mixed series of seed %i)', { timeout: TIMEOUT_MILLISECONDS }, expectNoFindings)
