/**
 * Tests of how soon runs are given up whose starts an earlier owner saw accepted shortly before its end, or after many others without an outcome.
 */
import { expect, test } from 'vitest'
import { HeldStarts } from './support/inherited-starts/held-starts.js'
import { RackFleet } from './support/inherited-starts/rack-fleet.js'

const TASK = 'aaaa.0.0.0'

const RACKS = ['r1', 'r2', 'r3', 'r4']

/** Time within which a task runs again after its owner is lost, well below any lease. */
const RESTART_MILLISECONDS = 4_000

// Guards against a release of a term that leaves out the starts that were accepted since the last append.
test.each([5, 20, 50, 100, 200])('a task that does not last runs again within four seconds of the end of its worker, although its owner released the term %i ms after the start', async milliseconds => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const owner = fleet.owner()
  const submission = racks.submit('aaaa', 'r1')
  for (let elapsed = 0; fleet.starts(TASK).length === 0 && elapsed < 3_000; elapsed++) await fleet.clock.advance(1)
  await fleet.clock.advance(milliseconds)
  await submission
  fleet.nodes.get(owner)?.stop.abort()
  await fleet.clock.advance(20)
  fleet.emulator.outages.cutPower(racks.workerOf(TASK))
  const lostAt = fleet.clock.now()
  await fleet.clock.advance(20_000)
  expect(racks.restartOf(TASK) - lostAt).toBeLessThan(RESTART_MILLISECONDS)
  expect(fleet.violations()).toEqual([])
})

// Guards against a limit on exceptions that hides later starts for as long as many earlier ones have no outcome.
test.each([100, 140, 200])('a task that does not last runs again within four seconds of the loss of its owner, although %i starts before its own have no outcome', async count => {
  const racks = await RackFleet.create(RACKS)
  const { fleet } = racks
  const held = new HeldStarts(fleet, ({ task }) => task.startsWith('bbbb'))
  await racks.submit('bbbb', 'r2', { count, demand: { millicores: 100, memoryMegabytes: 50, accelerators: 0 } })
  await held.untilHeld(count)
  await racks.submit('aaaa', 'r1')
  await fleet.clock.advance(100)
  for (const worker of held.workers) if (!worker.running.includes(TASK)) fleet.emulator.outages.disconnect(worker)
  await fleet.clock.advance(1_800)
  fleet.emulator.outages.cutPower(racks.workerOf(TASK))
  racks.loseOwner()
  const lostAt = fleet.clock.now()
  await fleet.clock.advance(20_000)
  expect(racks.restartOf(TASK) - lostAt).toBeLessThan(RESTART_MILLISECONDS)
  expect(fleet.violations()).toEqual([])
})
