/**
 * Tests of how soon lasting tasks run again after their workers fell silent while the owner ended or the store failed.
 */
import { expect, test } from 'vitest'
import { describeSeries } from './support/lease-series/describe-series.js'
import { DisturbedFleet } from './support/lease-series/disturbed-fleet.js'
import { drawGoneSeries } from './support/lease-series/draw-gone-series.js'
import { drawSeries } from './support/lease-series/draw-series.js'
import { drawWideSeries } from './support/lease-series/draw-wide-series.js'
import { OWNER_ENDS } from './support/lease-series/owner-ends.js'
import { PartitionWithOwner } from './support/lease-series/partition-with-owner.js'
import { playSeries } from './support/lease-series/play-series.js'
import { seriesFindings } from './support/lease-series/series-findings.js'
import type { SeriesPlan } from './support/lease-series/series-plan.js'
import { WORKER_SILENCES } from './support/lease-series/worker-silences.js'

/** Seeds of the series: `FIRST-LAST` in the environment variable plays others by hand. */
const [FIRST_SEED = 1, LAST_SEED = 24] = (process.env['LEASE_SERIES_SEEDS'] ?? '1-24').split('-').map(Number)

/** The same of the series with wide silences. */
const [FIRST_WIDE_SEED = 1, LAST_WIDE_SEED = 8] = (process.env['WIDE_LEASE_SERIES_SEEDS'] ?? '1-8').split('-').map(Number)

/** Seeds of such series in which most of the workers that the owner's record named were silent: at most half of the workers, or more. */
const SEEDS_WITH_SILENT_NAMES = [80, 152, 279, 320, 338]
const SEEDS_WITH_SILENT_MAJORITY = [97, 164, 224]

/** Seeds of series of workers that have ended: the first ones by turns, one of workers that are cut off again after their restart, one with late starts at restarted workers, and those in which tasks waited too long while no owner read the platform's list for it. */
const GONE_SEEDS = [1, 2, 4, 5, 9, 277]
const SEEDS_WITH_LISTED_ENDS = [3, 12, 20, 63]

/** Seeds of series that have two runs at once if a new owner doesn't wait for an owner that is alone with its workers. */
const SEEDS_WITH_PARTITION = [3, 45, 46, 57, 58, 73, 80]

/** Number of series in a test. */
const SERIES_PER_TEST = 4

/** Number of lasting tasks. */
const TASKS = 4

/** Time after which a series is over. */
const SERIES_MILLISECONDS = 24_000

function startLastingTasks (): Promise<DisturbedFleet> {
  return DisturbedFleet.create(1, ['one', 'two', 'three', 'four'], [0.98, 1, 1.02, 1, 0.98], TASKS)
}

function cutPowerOfWorkers ({ busyWorkers, fleet: { emulator } }: DisturbedFleet): void {
  for (const worker of busyWorkers) emulator.outages.cutPower(worker)
}

async function expectNoTaskLost (disturbed: DisturbedFleet): Promise<void> {
  await disturbed.playUntil(disturbed.now + SERIES_MILLISECONDS)
  expect(disturbed.lateGaps()).toEqual([])
  expect(disturbed.fleet.violations()).toEqual([])
  expect(disturbed.busyWorkers.flatMap(({ running }) => running)).toHaveLength(TASKS)
}

// Guards against a wait for renewals that a dead owner can't have made.
test.each([150, 500, 1_000, 1_500])('lasting tasks are not lost when their workers lose power and the owner %i ms later, for good', async distance => {
  const disturbed = await startLastingTasks()
  cutPowerOfWorkers(disturbed)
  disturbed.schedule(disturbed.now + distance, () => disturbed.fleet.kill(disturbed.fleet.owner()))
  await expectNoTaskLost(disturbed)
})

// Guards against a wait that is counted from when a process first read the journal.
test('lasting tasks are not lost when all processes are killed at once, and all but the owner are started again five seconds later', async () => {
  const disturbed = await startLastingTasks()
  const { fleet } = disturbed
  const owner = fleet.owner()
  const others = [...fleet.nodes.keys()].filter(name => name !== owner)
  cutPowerOfWorkers(disturbed)
  for (const name of [owner, ...others]) fleet.kill(name)
  disturbed.schedule(disturbed.now + 5_000, () => { for (const name of others) fleet.start(name) })
  await expectNoTaskLost(disturbed)
})

// Guards against a wait that begins anew because no owner lives long enough to write when it ends.
test('lasting tasks are not lost when three owners in series are killed within a second of the beginning of their terms', async () => {
  const disturbed = await startLastingTasks()
  const { fleet } = disturbed
  const kills = [300, 600]
  disturbed.onTermBegun = owner => {
    const kill = kills.shift()
    if (kill !== undefined) disturbed.schedule(disturbed.now + kill, () => fleet.kill(owner))
  }
  cutPowerOfWorkers(disturbed)
  disturbed.schedule(disturbed.now + 150, () => fleet.kill(fleet.owner()))
  await expectNoTaskLost(disturbed)
  expect(kills).toEqual([])
})

// Guards against a wait that begins when the store is back: without the store, no owner writes when it ends.
test('lasting tasks are not lost when their workers lose power while the store is away, and the owner dies before it is back', async () => {
  const disturbed = await startLastingTasks()
  const { fleet, now } = disturbed
  const { faults } = fleet.emulator
  faults.isStoreAway = true
  disturbed.schedule(now + 1_000, () => cutPowerOfWorkers(disturbed))
  disturbed.schedule(now + 4_000, () => fleet.kill(fleet.owner()))
  disturbed.schedule(now + 5_000, () => { faults.isStoreAway = false })
  await expectNoTaskLost(disturbed)
})

// Guards against two runs at once: a frozen owner renews leases when it goes on, before it learns that it has been replaced.
test.each([[4_000, 'frozen'], [4_000, 'frozen and cut off from all but the busy workers'], [1_500, 'frozen and cut off from all but the busy workers']])('lasting tasks that only an owner reaches that is, for %i ms, %s are not started elsewhere before their leases are over', async (milliseconds, name) => {
  const disturbed = await startLastingTasks()
  const { now, busyWorkers } = disturbed
  WORKER_SILENCES.find(silence => silence.name === 'reached by the owner only')?.begin(disturbed, busyWorkers, Infinity)
  OWNER_ENDS.find(ownerEnd => ownerEnd.name === name)?.begin(disturbed, disturbed.fleet.owner(), now + milliseconds)
  await disturbed.playUntil(now + SERIES_MILLISECONDS)
  expect(disturbed.gaps().map(({ endedAt, nextStartAt }) => nextStartAt > endedAt)).toEqual(Array(TASKS).fill(true))
  await expectNoTaskLost(disturbed)
})

// Guards against a wait for an owner whose calls, or the responses to them, are lost.
test.each(OWNER_ENDS.filter(({ name }) => name.endsWith('lost')).map(ownerEnd => [ownerEnd.name, ownerEnd] as const))('lasting tasks are not lost when their workers lose power and the owner is cut off one way (%s)', async (_name, ownerEnd) => {
  const disturbed = await startLastingTasks()
  cutPowerOfWorkers(disturbed)
  disturbed.schedule(disturbed.now + 150, () => ownerEnd.begin(disturbed, disturbed.fleet.owner(), Infinity))
  await expectNoTaskLost(disturbed)
})

function firstSeeds (first: number, last: number): number[] {
  return Array.from({ length: Math.ceil((last - first + 1) / SERIES_PER_TEST) }, (_, index) => first + index * SERIES_PER_TEST)
}

async function expectNoFindings (firstSeed: number, lastSeed: number, draw: (seed: number) => SeriesPlan): Promise<void> {
  const findings: string[] = []
  for (let seed = firstSeed; seed < firstSeed + SERIES_PER_TEST && seed <= lastSeed; seed++) {
    const plan = draw(seed)
    const found = seriesFindings(await playSeries(plan))
    if (found.length > 0) findings.push(describeSeries(plan), ...found)
  }
  expect(findings, findings.join('\n')).toEqual([])
}

test.each(firstSeeds(FIRST_SEED, LAST_SEED))('lasting tasks are not lost, and don\'t run twice at once, in series of silent workers, owners that end and a store that fails (four seeds from %i on)', async firstSeed => {
  await expectNoFindings(firstSeed, LAST_SEED, drawSeries)
})

// Guards against a wait that workers of one rack, zone or pool prolong because they fall silent together.
test.each(firstSeeds(FIRST_WIDE_SEED, LAST_WIDE_SEED))('lasting tasks are not lost, and don\'t run twice at once, in series of racks, zones and halves of pools that fall silent (four seeds from %i on)', async firstSeed => {
  await expectNoFindings(firstSeed, LAST_WIDE_SEED, drawWideSeries)
})

// Guards against the same wait in series that met it.
test.each(SEEDS_WITH_SILENT_NAMES)('lasting tasks are not lost when most workers that the owner\'s record named are silent, but at most half of all (wide series of seed %i)', async seed => {
  await expectNoFindings(seed, seed, drawWideSeries)
})

test.each(SEEDS_WITH_SILENT_MAJORITY)('lasting tasks are not lost when more than half of all workers are silent (wide series of seed %i)', async seed => {
  await expectNoFindings(seed, seed, drawWideSeries)
})

// Guards against names that leave out one of the workers that still respond.
test('lasting tasks are not lost when eight of sixteen workers are silent (wide series of seed 15)', async () => {
  const silences = WORKER_SILENCES.filter(({ name }) => name === 'dark')
  const ownerEnds = OWNER_ENDS.filter(({ name }) => name === 'cut off from the store')
  await expectNoFindings(15, 15, seed => ({ ...drawWideSeries(seed, silences, ownerEnds), store: null, ownerKills: [] }))
})

// Guards against two runs at once: an owner that is alone with most of the workers that its record names extends their leases again.
test.each(SEEDS_WITH_PARTITION)('lasting tasks don\'t run twice at once, and are not lost, when many workers are alone with an owner (wide series of seed %i)', async seed => {
  await expectNoFindings(seed, seed, () => drawWideSeries(seed, [new PartitionWithOwner()]))
})

test.each(GONE_SEEDS)('lasting tasks are not lost, and don\'t run twice at once, when workers come back or are ordered about, and lists of VMs lag behind (series of seed %i)', async seed => {
  await expectNoFindings(seed, seed, seed => drawGoneSeries(seed))
})

// Guards against a wait for a lease of a worker that the platform lists as ended.
test.each(SEEDS_WITH_LISTED_ENDS)('lasting tasks are not lost when the list of VMs shows that their workers have ended (series of seed %i)', async seed => {
  await expectNoFindings(seed, seed, seed => drawGoneSeries(seed))
})
