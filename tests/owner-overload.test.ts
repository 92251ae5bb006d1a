/**
 * Tests of an owner that is short of processor time.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

const WORKERS = 40

test('no lease of a lasting task expires while an owner short of processor time starts the tasks that have waited for it', { timeout: 120_000 }, async () => {
  const fleet = await EmulatedFleet.create(WORKERS, ['one'], 1, false)
  for (let index = 0; index < WORKERS; index++) fleet.outcomesByTask.set(`aaaa.0.0.${index}`, { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ count: WORKERS, isLasting: true, maximumPerWorker: 1 }])
  await fleet.clock.advance(2_000)
  fleet.emulator.faults.callMilliseconds.set('one', 2)
  // The starts alone take six seconds of its time.
  for (let job = 0; job < 200; job++) fleet.submit('one', `bbbb${job.toString(16)}`, [{ count: 15, demand: { millicores: 100, memoryMegabytes: 1, accelerators: 0 } }]).catch(() => {})
  await fleet.clock.advance(15_000)
  const ends = fleet.emulator.workerIncarnations.flatMap(({ completions }) => completions)
  expect(ends.filter(({ task }) => task.startsWith('aaaa')).map(({ result }) => result)).toEqual([])
  expect(ends.filter(({ task, result }) => task.startsWith('bbbb') && result === 'done')).toHaveLength(3_000)
  expect(fleet.violations()).toEqual([])
})
