/**
 * Tests of how soon runs are given up whose starts an earlier owner saw accepted, once the platform's lists of VMs show that their worker has ended.
 */
import { expect, test } from 'vitest'
import { HeldStarts } from './support/inherited-starts/held-starts.js'
import { RackFleet } from './support/inherited-starts/rack-fleet.js'
import { WORKER_ENDS } from './support/inherited-starts/worker-ends.js'

const TASK = 'aaaa.0.0.0'

const RACKS = ['r1', 'r2', 'r3', 'r4']

/** Time within which a task runs again after its owner is lost, or all processes have started, well below any lease. */
const RESTART_MILLISECONDS = 4_000

/** Time for which a run has been there when its owner is lost. */
const RUN_MILLISECONDS = 1_500

const ENDS = WORKER_ENDS.map(workerEnd => [workerEnd.name, workerEnd] as const)

/** Time after which each test ends. */
const TEST_MILLISECONDS = 20_000

// Guards against a wait for the lease because only the rows of lasting tasks say that their starts were accepted.
test.each(ENDS)('a task that does not last runs again within four seconds of the loss of its owner, although its worker %s', async (_name, workerEnd) => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  await racks.submit('aaaa', 'r1')
  await fleet.clock.advance(RUN_MILLISECONDS)
  workerEnd.end(fleet, racks.workerOf(TASK))
  racks.loseOwner()
  const lostAt = fleet.clock.now()
  await fleet.clock.advance(TEST_MILLISECONDS)
  expect(racks.restartOf(TASK) - lostAt).toBeLessThan(RESTART_MILLISECONDS)
  expect(fleet.violations()).toEqual([])
})

test.each(ENDS)('a task that does not last runs again within four seconds of the restart of all processes and all other workers, although its worker %s', async (_name, workerEnd) => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  await racks.submit('aaaa', 'r1')
  await fleet.clock.advance(RUN_MILLISECONDS)
  workerEnd.end(fleet, racks.workerOf(TASK))
  await fleet.clock.advance(100)
  racks.restartWorkers()
  const startedAt = await racks.restartProcesses(1_500)
  await fleet.clock.advance(TEST_MILLISECONDS)
  expect(racks.restartOf(TASK) - startedAt).toBeLessThan(RESTART_MILLISECONDS)
  expect(fleet.violations()).toEqual([])
})

// Guards against a record that tells of no start after the oldest one without an outcome.
test.each([[1, 'answers'], [1, 'is silent'], [12, 'answers'], [12, 'is silent']])('a task that does not last runs again within four seconds of the loss of its owner, although %i starts before its own are on their way to a worker that otherwise %s', async (count, state) => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const held = new HeldStarts(fleet, ({ task }) => task.startsWith('bbbb'))
  await racks.submit('bbbb', 'r2', { count })
  await held.untilHeld(count)
  await racks.submit('aaaa', 'r1')
  await fleet.clock.advance(100)
  const [unanswering] = held.workers
  if (state === 'is silent' && unanswering) fleet.emulator.outages.disconnect(unanswering)
  await fleet.clock.advance(1_800)
  fleet.emulator.outages.cutPower(racks.workerOf(TASK))
  racks.loseOwner()
  const lostAt = fleet.clock.now()
  await fleet.clock.advance(TEST_MILLISECONDS)
  expect(racks.restartOf(TASK) - lostAt).toBeLessThan(RESTART_MILLISECONDS)
  expect(fleet.violations()).toEqual([])
})

test('a task that does not last runs again within four seconds of the loss of its owner, although a later start is on its way to its worker', async () => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const held = new HeldStarts(fleet, ({ task }) => task.startsWith('bbbb'))
  await racks.submit('aaaa', 'r1')
  await fleet.clock.advance(RUN_MILLISECONDS)
  await racks.submit('bbbb', 'r1')
  await held.untilHeld()
  fleet.emulator.outages.cutPower(racks.workerOf(TASK))
  racks.loseOwner()
  const lostAt = fleet.clock.now()
  await fleet.clock.advance(TEST_MILLISECONDS)
  expect(racks.restartOf(TASK) - lostAt).toBeLessThan(RESTART_MILLISECONDS)
  expect(fleet.violations()).toEqual([])
})

// Guards against a record of the next owner that hides what its predecessor's record told of starts.
test.each([50, 300, 1_000, 2_000])('a task that does not last runs again within four seconds of the loss of the second of two owners, %i ms after its term began, which had not reached the workers', async lifetime => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  await racks.submit('aaaa', 'r1')
  await fleet.clock.advance(RUN_MILLISECONDS)
  const worker = racks.workerOf(TASK)
  fleet.emulator.outages.disconnect(worker)
  racks.loseOwner()
  for (const name of fleet.nodes.keys()) fleet.emulator.faults.unheardCallers.set(name, 'workers')
  await racks.nextOwner()
  await fleet.clock.advance(lifetime)
  racks.loseOwner()
  fleet.emulator.faults.unheardCallers.clear()
  fleet.emulator.outages.cutPower(worker)
  const lostAt = fleet.clock.now()
  await fleet.clock.advance(TEST_MILLISECONDS)
  expect(racks.restartOf(TASK) - lostAt).toBeLessThan(RESTART_MILLISECONDS)
  expect(fleet.violations()).toEqual([])
})
