/**
 * Tests of starts that are meant for one incarnation of a worker and carried out by the next one under its ID, which is cut off then.
 */
import { expect, test } from 'vitest'
import { DelayedStart } from './support/inherited-starts/delayed-start.js'
import { RackFleet } from './support/inherited-starts/rack-fleet.js'

const TASK = 'aaaa.0.0.0'

/** Utilization at which an owner gives a worker more than two seconds for a response. */
const HIGH_UTILIZATION = 0.95

/** Advances time until nothing of what is tested can happen any more, and checks that the task has run, and never twice at once. */
async function expectOneRunAtATime ({ fleet }: RackFleet): Promise<void> {
  await fleet.clock.advance(30_000)
  expect(fleet.starts(TASK)).not.toEqual([])
  expect(fleet.violations()).toEqual([])
}

// Guards against a lease that is taken to end when one of the former incarnation does, whose clock its deadline is on.
test.each([[0, 1], [50, 1], [100, 1], [100, 100]])('a run that the next incarnation accepts (submitted %i ms after the loss of power, accepted %i ms after the restart) does not run twice when its lease is over', async (sentAfter, acceptedAfter) => {
  const racks = await RackFleet.create(['r1', 'r2', 'r3', 'r4'])
  await racks.fleet.clock.advance(1_234)
  await new DelayedStart(racks, { darkMilliseconds: 600, sentAfter, acceptedAfter }).play()
  await expectOneRunAtATime(racks)
})

// Guards against the end of the former incarnation, by its lease or by the platform's lists, that is taken for the end of a run on the next one.
test.each([[3_400, 1_900], [3_700, 1_900], [4_000, 1_700], [4_000, 2_000]])('a run that the next incarnation accepts does not run twice when its owner is short of processor time (without power for %i ms, submitted after %i ms)', async (darkMilliseconds, sentAfter) => {
  const racks = await RackFleet.create(['r1', 'r2', 'r3', 'r4'])
  await racks.submit('bbbb', 'r1')
  await racks.fleet.clock.advance(3_000)
  for (const { load } of racks.fleet.nodes.values()) load.utilization = HIGH_UTILIZATION
  await racks.fleet.clock.advance(1_500)
  await new DelayedStart(racks, { darkMilliseconds, sentAfter, acceptedAfter: 1 }).play()
  await expectOneRunAtATime(racks)
})
