/**
 * Tests of runs that the next incarnation of a worker accepts, and that are given up by evidence about the former one.
 */
import { expect, test } from 'vitest'
import { RestartedWorker } from './support/inherited-starts/restarted-worker.js'

const TASK = 'aaaa.0.0.0'

/** Time after which nothing of what is tested can happen any more, in milliseconds. */
const SETTLING_MILLISECONDS = 30_000

/** Utilization at which an owner gives a worker more than two seconds for a response. */
const HIGH_UTILIZATION = 0.95

/** Advances time, and checks that the worker has run the task, and that it has never run twice at once. */
async function expectOneRunAtATime ({ racks: { fleet } }: RestartedWorker): Promise<void> {
  await fleet.clock.advance(SETTLING_MILLISECONDS)
  expect(fleet.starts(TASK)).toContainEqual(expect.objectContaining({ worker: 'i-1', run: 1 }))
  expect(fleet.violations()).toEqual([])
}

// Guards against a clock that is taken for the known one because the next incarnation has been up as long as the known one had been when the start was sent.
test.each([[400, 200, 400], [600, 100, 600], [800, 100, 800]])('a run that the next incarnation accepts does not run twice when the former one was young (power lost %i ms after its start, for %i ms, start accepted %i ms after the restart)', async (uptime, darkMilliseconds, acceptedAfter) => {
  const worker = await RestartedWorker.create(2_234)
  const { clock, nodes } = worker.racks.fleet
  for (const { load } of nodes.values()) load.utilization = HIGH_UTILIZATION
  await clock.advance(1_500)
  worker.restartAfter(50, true)
  await clock.advance(50 + uptime - 20)
  worker.holdStart(clock.now() + 20 + darkMilliseconds + acceptedAfter, true)
  worker.racks.submit('aaaa', 'r1').catch(() => {})
  await clock.advance(20)
  worker.restartAfter(darkMilliseconds)
  await expectOneRunAtATime(worker)
})

// Guards against a takeover that ends such a run with the leases that the former owner has renewed, which are shorter than what the start has set on the next incarnation.
test.each([[1, 'is shut down'], [50, 'is shut down'], [1, 'starts anew'], [50, 'starts anew']])('a run that the next incarnation accepts does not run twice when its owner %i ms later %s', async (lostAfter, end) => {
  const worker = await RestartedWorker.create(3_234)
  const { racks } = worker
  const { fleet } = racks
  const { clock } = fleet
  worker.holdStart(clock.now() + 601, true)
  worker.restartAfter(600)
  await clock.advance(100)
  racks.submit('aaaa', 'r1').catch(() => {})
  await clock.advance(500 + lostAfter)
  if (end === 'starts anew') {
    const owner = racks.loseOwner()
    await clock.advance(300)
    fleet.start(owner)
  } else {
    fleet.shutDown(fleet.owner()).catch(() => {})
  }
  await expectOneRunAtATime(worker)
})

// Guards against a start without a response that is taken to end with the lease of the former incarnation.
test.each([[300, 100], [600, 100], [900, 250], [1_200, 400]])('a run that the next incarnation accepts without a response does not run twice (without power for %i ms, submitted after %i ms)', async (darkMilliseconds, sentAfter) => {
  const worker = await RestartedWorker.create(3_234)
  const { clock } = worker.racks.fleet
  worker.holdStart(clock.now() + darkMilliseconds + 1, false)
  worker.restartAfter(darkMilliseconds)
  await clock.advance(sentAfter)
  worker.racks.submit('aaaa', 'r1').catch(() => {})
  await expectOneRunAtATime(worker)
})

// Guards against a completion on the next incarnation that a late call forgets, because it acknowledges those of the former one.
test('a run that the next incarnation has done does not run again when a call that was meant for the former one acknowledges its completion', async () => {
  const worker = await RestartedWorker.create(1_234)
  const { fleet } = worker.racks
  const { clock } = fleet
  await fleet.submit(fleet.nonOwner(), 'cccc', [{ estimateMilliseconds: 1_000, preferredRack: 'r1' }])
  await clock.advance(3_500)
  fleet.outcomesByTask.set(TASK, { milliseconds: 200, result: 'done' })
  const cut = { at: 0 }
  let isStartHeld = false
  worker.intercept(async (request, proceed) => {
    if (request.path.endsWith('hold') && cut.at === 0) {
      cut.at = clock.now()
      worker.restartAfter(300)
      await clock.sleepUntil(cut.at + 600)
    } else if (request.path.endsWith('run-start') && !isStartHeld) {
      isStartHeld = true
      await clock.sleepUntil(cut.at + 301)
      await proceed({ ...request, isAborted: () => false })
      return null
    }
    return proceed(request)
  })
  while (cut.at === 0) await clock.advance(10)
  fleet.send(fleet.nonOwner(), 'aaaa', [{ estimateMilliseconds: 200, preferredRack: 'r1' }]).catch(() => {})
  await expectOneRunAtATime(worker)
})
