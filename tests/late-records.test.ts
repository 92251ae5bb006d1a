/**
 * Tests of submissions and run completions that arrive after something was decided without them.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

// Guards against a job that runs after its cancellation was answered with "no such job".
test('a job whose submission is executed late does not run after its cancellation', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two'])
  fleet.emulator.faults.lateAppends.set('one', 6_000)
  expect(await fleet.submit('one', 'aaaa', [{}])).toEqual({ kind: 'unknown' })
  expect(await fleet.cancel('two', 'aaaa')).toEqual({ kind: 'no-job' })
  await fleet.clock.advance(10_000)
  expect(fleet.starts('aaaa.0.0.0')).toEqual([])
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'cancelled' })
})

test('cancellations of jobs that were never submitted are removed after the retention time', { timeout: 60_000 }, async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  for (let index = 0; index < 20; index++) expect(await fleet.cancel('one', `none${index}`)).toEqual({ kind: 'no-job' })
  const cancellations = (): number => fleet.emulator.store.partition('keyed.jobs').newestRecords().filter(({ key }) => key.startsWith('cancel/')).length
  expect(cancellations()).toBe(20)
  await fleet.clock.advance(130_000)
  expect(cancellations()).toBe(0)
  expect(await fleet.submit('two', 'none0', [{}])).toEqual({ kind: 'accepted' })
  await fleet.clock.advance(3_000)
  expect(await fleet.state('one', 'none0')).toEqual({ kind: 'state', state: 'completed' })
})

// Guards against a gang that waits for ever, because the end that one of its workers reports late is taken for that of one member.
test('a gang that was done behind a cut is done, whichever of its workers comes back', async () => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'], 1, false)
  const names = ['aaaa.0.0.0', 'aaaa.0.0.1']
  for (const name of names) fleet.outcomesByTask.set(name, { milliseconds: 4_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ count: 2, isGang: true, maximumPerWorker: 1 }])
  await fleet.clock.advance(1_000)
  const workers = fleet.emulator.workerIncarnations.filter(({ running }) => running.length > 0)
  expect(workers).toHaveLength(2)
  for (const worker of workers) worker.isDisconnected = true
  for (const name of names) fleet.outcomesByTask.set(name, { milliseconds: Infinity, result: 'done' })
  await fleet.clock.advance(8_000)
  expect(names.map(name => fleet.starts(name).length)).toEqual([2, 2])
  const [first, second] = workers
  if (second) fleet.emulator.crash(second)
  if (first) first.isDisconnected = false
  await fleet.clock.advance(5_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.emulator.workerIncarnations.flatMap(({ running }) => running)).toEqual([])
})
