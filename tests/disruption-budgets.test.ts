/**
 * Tests of how many tasks of a lasting step the owner's own actions end at a time.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

const TASKS = ['aaaa.0.0.0', 'aaaa.0.0.1', 'aaaa.0.0.2'] as const

// Guards against a run whose first report is still to come being taken for one that isn't at work.
test('maintenance does not end a run that has just started while another task of its step is away', async () => {
  const fleet = await EmulatedFleet.create(6, ['one'], 1, false)
  for (const task of TASKS) fleet.outcomesByTask.set(task, { milliseconds: Infinity, result: 'done' })
  fleet.outcomesByTask.set(TASKS[0], { milliseconds: 5_000, result: 'failed' })
  await fleet.submit('one', 'aaaa', [{ count: TASKS.length, isLasting: true, disruptionBudget: 1, maximumPerWorker: 1 }])
  await fleet.clock.advance(2_000)
  fleet.outcomesByTask.set(TASKS[0], { milliseconds: Infinity, result: 'done' })
  const silent = fleet.emulator.workerIncarnations.find(({ running }) => running.includes(TASKS[1]))
  if (!silent) throw new Error('nothing is running')
  silent.isDisconnected = true
  while (fleet.starts(TASKS[0]).length < 2) await fleet.clock.advance(10)
  const worker = fleet.emulator.workerIncarnations.find(({ running }) => running.includes(TASKS[0]))
  fleet.emulator.publish('wave/1', { wave: 1, machines: [worker?.virtualMachine], duration_s: 60, max_count: 1 })
  await fleet.clock.advance(20_000)
  const stopped = worker?.completions.find(({ task, run }) => task === TASKS[0] && run === 2)
  expect(stopped?.completedAt).toBeGreaterThan(fleet.starts(TASKS[1]).find(({ run }) => run === 2)?.at ?? Infinity)
  expect(fleet.violations()).toEqual([])
})
