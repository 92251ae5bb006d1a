/**
 * Tests of series of workers that lose power and start again under their IDs while renewals are late and owners are killed, paused or cut off, one after the other.
 */
import { expect, test } from 'vitest'
import { drawRestartPlan } from './support/restart-series/draw-restart-plan.js'
import { restartFindings } from './support/restart-series/restart-findings.js'
import { RestartPlayer } from './support/restart-series/restart-player.js'

/** Seeds of the series: `FIRST-LAST` in the environment variable plays others by hand. */
const [FIRST_SEED = 1, LAST_SEED = 8] = (process.env['TAKEOVER_SERIES_SEEDS'] ?? '1-8').split('-').map(Number)

/** Seeds of series in which a renewal for the previous incarnation gives the next one its longest lease. */
const SEEDS_WITH_LATE_RENEWALS = [80, 120, 192, 235, 273, 298, 336]

/** Number of series in a test. */
const SERIES_PER_TEST = 4

async function expectNoFindings (firstSeed: number, lastSeed: number): Promise<void> {
  const findings = await restartFindings(firstSeed, lastSeed, 'takeovers')
  expect(findings, findings.join('\n')).toEqual([])
}

// Guards against a run that a next owner gives up although its worker goes on with it.
test.each(Array.from({ length: Math.ceil((LAST_SEED - FIRST_SEED + 1) / SERIES_PER_TEST) }, (_, index) => FIRST_SEED + index * SERIES_PER_TEST))('tasks don\'t run twice in series of takeovers and late renewals (four seeds from %i on)', async firstSeed => {
  await expectNoFindings(firstSeed, Math.min(LAST_SEED, firstSeed + SERIES_PER_TEST - 1))
})

// Guards against a lease that the owner counts from its own renewals although a late one has extended it.
test.each(SEEDS_WITH_LATE_RENEWALS)('tasks of workers that carry a renewal for their previous incarnation out are not started elsewhere before their longest lease is over (takeover series of seed %i)', async seed => {
  await expectNoFindings(seed, seed)
})

// Guards against series that disturb nothing.
test('late renewals reach next incarnations in series of takeovers', async () => {
  let lateRenewals = 0
  for (let seed = 1; seed <= SERIES_PER_TEST; seed++) lateRenewals += (await RestartPlayer.play(drawRestartPlan(seed, 'takeovers'))).lateRenewals
  expect(lateRenewals).toBeGreaterThan(0)
})
