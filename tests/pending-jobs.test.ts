/**
 * Tests of the count of pending jobs.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

// Guards against jobs of which nothing has begun that aren't counted because a worker has refused their starts.
test('jobs whose starts are refused are pending until one of their tasks begins, also for a new owner', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two'], 1, false)
  const pending = (): unknown[] => [...fleet.nodes.keys()].map(node => fleet.countPending(node))
  for (const worker of fleet.emulator.workerIncarnations) worker.refusesStarts = true
  for (const id of ['aaaa', 'bbbb', 'cccc']) await fleet.submit('one', id, [{ count: 2 }])
  await fleet.clock.advance(4_000)
  expect(pending()).toEqual([{ kind: 'pending', count: 3 }, { kind: 'pending', count: 3 }])
  const owner = fleet.owner()
  fleet.kill(owner)
  fleet.start(owner)
  await fleet.clock.advance(6_000)
  expect(pending()).toEqual([{ kind: 'pending', count: 3 }, { kind: 'pending', count: 3 }])
  for (const worker of fleet.emulator.workerIncarnations) worker.refusesStarts = false
  await fleet.clock.advance(5_000)
  expect(pending()).toEqual([{ kind: 'pending', count: 0 }, { kind: 'pending', count: 0 }])
  expect(await fleet.state('one', 'cccc')).toEqual({ kind: 'state', state: 'completed' })
})

test('a job whose run was lost with its worker is not pending again', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 20_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(1_000)
  const [worker] = fleet.emulator.workerIncarnations
  if (worker) fleet.emulator.crash(worker)
  await fleet.clock.advance(8_000)
  expect(fleet.countPending('one')).toEqual({ kind: 'pending', count: 0 })
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'running' })
})
