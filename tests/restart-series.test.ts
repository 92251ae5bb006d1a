/**
 * Tests of workers that lose power and start again under their IDs while starts, reports and lists are on their way.
 */
import { expect, test } from 'vitest'
import { drawRestartPlan } from './support/restart-series/draw-restart-plan.js'
import { restartFindings } from './support/restart-series/restart-findings.js'
import { RestartPlayer } from './support/restart-series/restart-player.js'

/** Seeds of the series: `FIRST-LAST` in the environment variable plays others by hand. */
const [FIRST_SEED = 1, LAST_SEED = 12] = (process.env['RESTART_SERIES_SEEDS'] ?? '1-12').split('-').map(Number)

/** Seeds of series in which a start for the previous incarnation of a worker gave its run a longer lease on the next one than the owner counted. */
const SEEDS_WITH_LONG_LEASES = [37, 89, 136]

/** Seeds of series in which the next incarnation of a worker had accepted a start before the owner knew of it: a report that was asked for before, or a list that showed the end of the previous incarnation, gave the run up. */
const SEEDS_WITH_ACCEPTED_STARTS = [158, 189, 266]

/** Seeds, with their modes, of series in which the previous owner had sent such a start, and the next owner takes its lease for one of the usual length. */
const SEEDS_WITH_INHERITED_LEASES = [[157, 'prompt'], [922, 'prompt'], [272, 'late'], [287, 'late']] as const

/** Seeds of series in which an incarnation that no owner has called carries out a start. */
const SEEDS_WITH_LATE_STARTS = [17, 28, 136, 291]

/** Seeds of series in which runs start on restarted workers, and calls are carried out on connections that were made late. */
const SEEDS_WITH_LATE_CONNECTIONS = [44, 76]

/** Number of series in a test. */
const SERIES_PER_TEST = 4

async function expectNoFindings (...series: Parameters<typeof restartFindings>): Promise<void> {
  const findings = await restartFindings(...series)
  expect(findings, findings.join('\n')).toEqual([])
}

// Guards against a run that is given up with the previous incarnation of its worker although the next one carries out its start.
test.each(Array.from({ length: Math.ceil((LAST_SEED - FIRST_SEED + 1) / SERIES_PER_TEST) }, (_, index) => FIRST_SEED + index * SERIES_PER_TEST))('tasks don\'t run twice at once in series of workers that start again under their IDs (four seeds from %i on)', async firstSeed => {
  await expectNoFindings(firstSeed, Math.min(LAST_SEED, firstSeed + SERIES_PER_TEST - 1))
})

// Guards against a lease that the owner counts from the deadline that it sent: the clock of the next incarnation starts anew, so that this deadline allows the longest lease there.
test.each(SEEDS_WITH_LONG_LEASES)('tasks of a worker that is cut off after its restart are not started elsewhere before its longest lease is over (series of seed %i)', async seed => {
  await expectNoFindings(seed, seed)
})

// Guards against the same after a change of owners.
test.each(SEEDS_WITH_INHERITED_LEASES)('tasks whose starts were sent by the previous owner are not started elsewhere before their longest lease is over (series of seed %i, %s)', async (seed, mode) => {
  await expectNoFindings(seed, seed, mode)
})

// Guards against evidence of the end of the previous incarnation of a worker, or a report that was asked for before, that is taken for one of a run that the next incarnation has accepted.
test.each(SEEDS_WITH_ACCEPTED_STARTS)('tasks whose starts were accepted by the next incarnation of a worker are not started elsewhere (series of seed %i)', async seed => {
  await expectNoFindings(seed, seed)
})

// Guards against evidence of a known incarnation that is taken for the end of a start which the next one carries out late.
test.each(SEEDS_WITH_LATE_STARTS)('tasks whose starts are carried out late by the next incarnation of a worker do not run twice at once (series of seed %i)', async seed => {
  await expectNoFindings(seed, seed, 'late')
})

// Guards against series that disturb nothing.
test('series start runs on restarted workers, and carry out calls on connections that are made late', async () => {
  const results = []
  for (const seed of SEEDS_WITH_LATE_CONNECTIONS) results.push(await RestartPlayer.play(drawRestartPlan(seed, 'prompt')))
  expect(results.reduce((sum, { startsOnRestarted }) => sum + startsOnRestarted, 0)).toBeGreaterThan(0)
  expect(results.reduce((sum, { lateConnections }) => sum + lateConnections, 0)).toBeGreaterThan(0)
})
