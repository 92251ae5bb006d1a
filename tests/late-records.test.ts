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
