/**
 * Tests of jobs from submission to completion, against the platform's emulator.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'
import { PLAIN_STEP } from './support/plain-step.js'

test('the steps of a job run in order, and every process reports the job as completed', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two', 'three'])
  expect(await fleet.submit('one', 'aaaa', [{ count: 3 }, { count: 2, after: [0] }])).toEqual({ kind: 'accepted' })
  await fleet.clock.advance(4_000)
  for (const node of ['one', 'two', 'three']) expect(await fleet.state(node, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  const lastStartOfFirstStep = Math.max(...[0, 1, 2].flatMap(index => fleet.starts(`aaaa.0.0.${index}`).map(({ at }) => at)))
  for (const index of [0, 1]) expect(fleet.starts(`aaaa.0.1.${index}`)[0]?.at).toBeGreaterThanOrEqual(lastStartOfFirstStep + 1_000)
  expect(fleet.violations()).toEqual([])
})

test('the same submission to several processes is one job, even after its completion', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  await Promise.all([fleet.submit('one', 'aaaa', [{}]), fleet.submit('two', 'aaaa', [{}])])
  await fleet.clock.advance(3_000)
  expect(await fleet.submit('two', 'aaaa', [{}])).toEqual({ kind: 'accepted' })
  await fleet.clock.advance(3_000)
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('nothing of a job is written after its outcome', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two'])
  for (let index = 0; index < 12; index++) fleet.outcomesByTask.set(`aaaa.0.0.${index}`, { milliseconds: 600 + 30 * index, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ count: 12 }, { count: 2, after: [0] }])
  await fleet.submit('two', 'bbbb', [{ count: 6 }])
  await fleet.clock.advance(1_200)
  const decisions = fleet.emulator.store.partition('keyed.decisions')
  await fleet.cancel('one', 'bbbb')
  await fleet.clock.advance(10_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(decisions.newestRecords().map(({ key }) => key).filter(key => key.startsWith('step/'))).toEqual([])
  expect(fleet.violations()).toEqual([])
})

test('a cancelled job stops running, and its tasks do not start again', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 60_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(500)
  expect(await fleet.cancel('two', 'aaaa')).toEqual({ kind: 'cancelled' })
  await fleet.clock.advance(3_000)
  expect(fleet.emulator.workerIncarnations.flatMap(({ running }) => running)).toEqual([])
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'cancelled' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('a job that was never submitted is unknown, and one just accepted by another process is known', async () => {
  const fleet = await EmulatedFleet.create(0, ['one', 'two'])
  expect(await fleet.state('one', 'bbbb')).toEqual({ kind: 'no-job' })
  expect(await fleet.cancel('one', 'bbbb')).toEqual({ kind: 'no-job' })
  await fleet.submit('one', 'aaaa', [{}])
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'queued' })
})

test('a job whose queue is removed from the configuration is completed', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two'])
  const route = { name: 'brief', host: 'fleet.example', path_prefix: '/brief/', service: 'work', target_latency_ms: 600, priority: 0, max_attempts: 3, stretch: 1.6 }
  fleet.configure({ routes: [route] })
  await fleet.clock.advance(1_000)
  const [node] = fleet.nodes.values()
  const request = { host: 'fleet.example', path: '/brief/aaaa', key: 'key-of-team', deadline: fleet.clock.now() + 3_000 }
  const steps = [{ ...PLAIN_STEP, count: 2 }, { ...PLAIN_STEP, count: 2, after: [0] }]
  const accepted = node?.tree.service.submit(request, 'aaaa', { specification: 'text', steps, occurrences: 1, startAt: 0, intervalMilliseconds: 0 })
  await fleet.clock.advance(500)
  expect(await accepted).toEqual({ kind: 'accepted' })
  fleet.configure()
  await fleet.clock.advance(6_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(node?.tree.service.countPending(request)).toEqual({ kind: 'no-queue' })
})

test('a job fails once a task has failed as often as its queue allows', async () => {
  const fleet = await EmulatedFleet.create(2, ['one'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 100, result: 'failed' })
  await fleet.submit('one', 'aaaa', [{ count: 2 }])
  await fleet.clock.advance(15_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'failed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(3)
})

test('a team never runs more than its upper limit allows', async () => {
  const fleet = await EmulatedFleet.create(4, ['one'])
  fleet.configure({ upperLimit: 10_000 })
  await fleet.clock.advance(1_000)
  await fleet.submit('one', 'aaaa', [{ count: 12 }])
  let maximumRunning = 0
  for (let poll = 0; poll < 80; poll++) {
    await fleet.clock.advance(100)
    maximumRunning = Math.max(maximumRunning, fleet.emulator.workerIncarnations.flatMap(({ running }) => running).length)
  }
  expect(maximumRunning).toBe(2)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('a gang starts as a whole or not at all', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  await fleet.submit('one', 'aaaa', [{ count: 17, isGang: true }])
  await fleet.clock.advance(2_000)
  expect(fleet.emulator.workerIncarnations.flatMap(({ starts }) => starts)).toEqual([])
  fleet.emulator.addVirtualMachine('work', 'a')
  await fleet.clock.advance(4_000)
  const starts = fleet.emulator.workerIncarnations.flatMap(worker => worker.starts)
  expect(starts).toHaveLength(17)
  expect(Math.max(...starts.map(({ startedAt }) => startedAt)) - Math.min(...starts.map(({ startedAt }) => startedAt))).toBeLessThan(1_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('occurrences start at their due times', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  const startAt = fleet.clock.now() + 3_000
  await fleet.submit('one', 'aaaa', [{}], { occurrences: 3, startAt, intervalMilliseconds: 2_000 })
  await fleet.clock.advance(12_000)
  for (const occurrence of [0, 1, 2]) {
    const [start] = fleet.starts(`aaaa.${occurrence}.0.0`)
    expect(start?.at).toBeGreaterThanOrEqual(startAt + occurrence * 2_000)
    expect(start?.at).toBeLessThan(startAt + occurrence * 2_000 + 1_000)
  }
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('a job in a queue with advice runs to completion, on advised workers only', async () => {
  const fleet = await EmulatedFleet.create(4, ['one'])
  fleet.configure({ advice: true })
  await fleet.clock.advance(1_000)
  await fleet.submit('one', 'aaaa', [{ count: 4 }])
  await fleet.clock.advance(4_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  const users = fleet.emulator.workerIncarnations.filter(({ starts }) => starts.length > 0).map(({ id }) => id)
  expect(users.length).toBeGreaterThan(0)
  expect(users.filter(id => !fleet.emulator.advisedWorkers.has(id))).toEqual([])
})

test('a worker runs no more tasks of a step than the limit of the step allows', async () => {
  const fleet = await EmulatedFleet.create(2, ['one'])
  await fleet.submit('one', 'aaaa', [{ count: 6, maximumPerWorker: 2 }])
  await fleet.clock.advance(500)
  for (const { running } of fleet.emulator.workerIncarnations) expect(running.length).toBeLessThanOrEqual(2)
  await fleet.clock.advance(6_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('no task starts on a draining worker or in an evacuated availability zone', async () => {
  const fleet = new EmulatedFleet(1)
  const drainingWorker = fleet.emulator.addVirtualMachine('work', 'a')
  fleet.emulator.addVirtualMachine('work', 'b')
  // Without a standby pool, no VM is moved out of the pool.
  fleet.configure({ hasStandby: false })
  fleet.start('one')
  await fleet.clock.advance(1_000)
  if (drainingWorker) fleet.emulator.drain(drainingWorker)
  fleet.emulator.publish('evacuate/b', {})
  await fleet.clock.advance(1_000)
  await fleet.submit('one', 'aaaa', [{ count: 2 }])
  await fleet.clock.advance(3_000)
  expect(fleet.emulator.workerIncarnations.flatMap(({ starts }) => starts)).toEqual([])
  fleet.emulator.publish('evacuate/b', null)
  await fleet.clock.advance(3_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('a withdrawn key is refused, and an older version of the configuration is not applied', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  fleet.configure({ keys: ['another-key'] })
  await fleet.clock.advance(1_000)
  expect(await fleet.submit('one', 'aaaa', [{}])).toEqual({ kind: 'unauthorized' })
  fleet.emulator.publish('config', { version: 1, routes: [], services: [], tenants: [] })
  await fleet.clock.advance(1_000)
  expect(await fleet.submit('one', 'aaaa', [{}])).toEqual({ kind: 'unauthorized' })
})
