/**
 * Jobs from submission to completion, against the platform's emulator.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

test('a job of two steps runs in order and is shown as completed by every process', async () => {
  const made = await EmulatedFleet.ready(2, ['one', 'two', 'three'])
  expect(await made.submit('one', 'aaaa', [{ count: 3 }, { count: 2, after: [0] }])).toEqual({ kind: 'accepted' })
  await made.clock.advance(4_000)
  for (const node of ['one', 'two', 'three']) expect(await made.state(node, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  const lastOfFirst = Math.max(...[0, 1, 2].flatMap(index => made.starts(`aaaa.0.0.${index}`).map(({ at }) => at)))
  for (const index of [0, 1]) expect(made.starts(`aaaa.0.1.${index}`)[0]?.at).toBeGreaterThanOrEqual(lastOfFirst + 1_000)
  expect(made.violations()).toEqual([])
})

test('the same submission at several processes is one job, also after its completion', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  await Promise.all([made.submit('one', 'aaaa', [{}]), made.submit('two', 'aaaa', [{}])])
  await made.clock.advance(3_000)
  expect(await made.submit('two', 'aaaa', [{}])).toEqual({ kind: 'accepted' })
  await made.clock.advance(3_000)
  expect(made.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('a cancelled job stops running, and its tasks do not start again', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  made.fates.set('aaaa.0.0.0', { milliseconds: 60_000, result: 'done' })
  await made.submit('one', 'aaaa', [{}])
  await made.clock.advance(500)
  expect(await made.cancel('two', 'aaaa')).toEqual({ kind: 'cancelled' })
  await made.clock.advance(3_000)
  expect(made.emulator.workerIncarnations.flatMap(({ running }) => running)).toEqual([])
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'cancelled' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('a job that nobody submitted does not exist, and one just accepted elsewhere does', async () => {
  const made = await EmulatedFleet.ready(0, ['one', 'two'])
  expect(await made.state('one', 'bbbb')).toEqual({ kind: 'no-job' })
  expect(await made.cancel('one', 'bbbb')).toEqual({ kind: 'no-job' })
  await made.submit('one', 'aaaa', [{}])
  expect(await made.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'queued' })
})

test('a task that fails as often as its queue allows makes the job failed', async () => {
  const made = await EmulatedFleet.ready(2, ['one'])
  made.fates.set('aaaa.0.0.0', { milliseconds: 100, result: 'failed' })
  await made.submit('one', 'aaaa', [{ count: 2 }])
  await made.clock.advance(15_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'failed' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(3)
})

test('a team never has more running than its upper limit', async () => {
  const made = await EmulatedFleet.ready(4, ['one'])
  made.configure({ upperLimit: 10_000 })
  await made.clock.advance(1_000)
  await made.submit('one', 'aaaa', [{ count: 12 }])
  let most = 0
  for (let step = 0; step < 80; step++) {
    await made.clock.advance(100)
    most = Math.max(most, made.emulator.workerIncarnations.flatMap(({ running }) => running).length)
  }
  expect(most).toBe(2)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('a gang starts whole or not at all', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  await made.submit('one', 'aaaa', [{ count: 17, isGang: true }])
  await made.clock.advance(2_000)
  expect(made.emulator.workerIncarnations.flatMap(({ starts }) => starts)).toEqual([])
  made.emulator.addVirtualMachine('work', 'a')
  await made.clock.advance(4_000)
  const starts = made.emulator.workerIncarnations.flatMap(worker => worker.starts)
  expect(starts).toHaveLength(17)
  expect(Math.max(...starts.map(({ startedAt: at }) => at)) - Math.min(...starts.map(({ startedAt: at }) => at))).toBeLessThan(1_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('occurrences start at their due times', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  const startAt = made.clock.now() + 3_000
  await made.submit('one', 'aaaa', [{}], { occurrences: 3, startAt, intervalMilliseconds: 2_000 })
  await made.clock.advance(12_000)
  for (const occurrence of [0, 1, 2]) {
    const [start] = made.starts(`aaaa.${occurrence}.0.0`)
    expect(start?.at).toBeGreaterThanOrEqual(startAt + occurrence * 2_000)
    expect(start?.at).toBeLessThan(startAt + occurrence * 2_000 + 1_000)
  }
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('steps of a queue with advice run only where the service allows it', async () => {
  const made = await EmulatedFleet.ready(4, ['one'])
  made.configure({ advice: true })
  await made.clock.advance(1_000)
  await made.submit('one', 'aaaa', [{ count: 4 }])
  await made.clock.advance(4_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('no more of a step than its limit runs on one worker', async () => {
  const made = await EmulatedFleet.ready(2, ['one'])
  await made.submit('one', 'aaaa', [{ count: 6, maximumPerWorker: 2 }])
  await made.clock.advance(500)
  for (const { running } of made.emulator.workerIncarnations) expect(running.length).toBeLessThanOrEqual(2)
  await made.clock.advance(6_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('nothing starts on a worker that drains or in a zone that is out', async () => {
  const made = new EmulatedFleet(1)
  const first = made.emulator.addVirtualMachine('work', 'a')
  made.emulator.addVirtualMachine('work', 'b')
  // Without standby no VM is moved away from the pool.
  made.configure({ hasStandby: false })
  made.start('one')
  await made.clock.advance(1_000)
  if (first) made.emulator.drain(first)
  made.emulator.publish('evacuate/b', {})
  await made.clock.advance(1_000)
  await made.submit('one', 'aaaa', [{ count: 2 }])
  await made.clock.advance(3_000)
  expect(made.emulator.workerIncarnations.flatMap(({ starts }) => starts)).toEqual([])
  made.emulator.publish('evacuate/b', null)
  await made.clock.advance(3_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('a withdrawn key and a dropped queue are refused, and an older version never returns', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  made.configure({ keys: ['another-key'] })
  await made.clock.advance(1_000)
  expect(await made.submit('one', 'aaaa', [{}])).toEqual({ kind: 'unauthorized' })
  made.emulator.publish('config', { version: 1, routes: [], services: [], tenants: [] })
  await made.clock.advance(1_000)
  expect(await made.submit('one', 'aaaa', [{}])).toEqual({ kind: 'unauthorized' })
})
