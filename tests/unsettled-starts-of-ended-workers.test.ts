/**
 * Tests of how soon a task runs again whose start got no response, once the platform's lists of VMs show that its worker has ended for good.
 */
import { expect, test } from 'vitest'
import { HeldStarts } from './support/inherited-starts/held-starts.js'
import { RackFleet } from './support/inherited-starts/rack-fleet.js'
import { WORKER_ENDS } from './support/inherited-starts/worker-ends.js'

const TASK = 'aaaa.0.0.0'

/** Time of calm after which a lasting task without a run counts as lost. */
const CALM_MILLISECONDS = 7_000

const CASES = WORKER_ENDS.flatMap(workerEnd => [['stays', workerEnd.name, workerEnd] as const, ['has just begun its term', workerEnd.name, workerEnd] as const, ['is lost', workerEnd.name, workerEnd] as const])

test.each(CASES)('a lasting task whose start got no response runs within seven seconds of the end of its worker, if its owner %s and the worker %s', async (state, _name, workerEnd) => {
  const racks = await RackFleet.create(['r1', 'r2', 'r3', 'r4'])
  const { fleet } = racks
  if (state === 'has just begun its term') {
    await racks.submit('cccc', 'r1')
    await fleet.clock.advance(1_000)
    racks.loseOwner()
    await racks.nextOwner()
    await fleet.clock.advance(500)
  }
  const held = new HeldStarts(fleet, ({ task, run }) => task === TASK && run === 1)
  await racks.submit('aaaa', 'r1', { isLasting: true })
  await held.untilHeld()
  const [worker] = held.workers
  if (!worker) throw new Error('no worker')
  workerEnd.end(fleet, worker)
  if (state === 'is lost') racks.loseOwner()
  const endedAt = fleet.clock.now()
  await fleet.clock.advance(20_000)
  expect(fleet.violations()).toEqual([])
  expect(racks.restartOf(TASK) - endedAt).toBeLessThan(CALM_MILLISECONDS)
})
