/**
 * Jobs through failures of workers, processes and the store, against the platform's emulator.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

test('a killed owner is followed by another one, and what runs goes on', async () => {
  const made = await EmulatedFleet.ready(2, ['one', 'two', 'three'])
  made.fates.set('aaaa.0.0.0', { milliseconds: 8_000, result: 'done' })
  const owner = made.owner()
  const other = made.bystander()
  await made.submit(other, 'aaaa', [{}, { after: [0] }])
  await made.clock.advance(500)
  made.kill(owner)
  await made.clock.advance(12_000)
  expect(await made.state(other, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(1)
  expect(made.violations()).toEqual([])
})

test('ownership stays with its holder while other processes come and go', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  const other = made.bystander()
  made.start('three')
  await made.clock.advance(3_000)
  await made.end(other)
  made.start(other)
  await made.clock.advance(3_000)
  expect([...made.nodes.values()].flatMap(({ log }) => log.of('term begins'))).toHaveLength(1)
})

test('a process that stops in good order hands ownership over without a pause', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  const owner = made.owner()
  const other = made.bystander()
  made.nodes.get(owner)?.stop.abort()
  await made.clock.advance(1_000)
  expect(made.nodes.get(other)?.log.of('term begins')).toHaveLength(1)
})

test.each([0, 20])('what the owner has decided %i ms before it stops in good order is neither lost nor repeated', async age => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  const owner = made.owner()
  const other = made.bystander()
  made.emulator.faults.startLatencyMilliseconds = 100
  for (let index = 0; index < 4; index++) made.fates.set(`aaaa.0.0.${index}`, { milliseconds: 3_000, result: 'done' })
  await made.submit(other, 'aaaa', [{ count: 4 }])
  while (made.nodes.get(owner)?.log.of('runs placed').length === 0) await made.clock.advance(5)
  // The decision is being written, or the orders are on their way.
  await made.clock.advance(age)
  made.nodes.get(owner)?.stop.abort()
  await made.clock.advance(10_000)
  expect(await made.state(other, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  for (let index = 0; index < 4; index++) expect(made.starts(`aaaa.0.0.${index}`).map(({ run }) => run)).toEqual([1])
  expect(made.violations()).toEqual([])
})

test('a process on a narrow link catches up with a journal that went far ahead', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  const other = made.bystander()
  const node = made.nodes.get(other)
  made.emulator.faults.disconnectedCallers.add(other)
  // Three megabytes in each of two topics, which take the narrowest link of the platform, 7 Mbit/s, seven seconds.
  for (let count = 0; count < 60; count++) {
    for (const topic of ['keyed.decisions', 'keyed.jobs']) made.emulator.store.put(topic, `wave/${count + 100}`, { wave: count + 100, ordered: ['x'.repeat(50_000)], begun: [], isCompleted: true })
  }
  made.emulator.faults.linkBytesPerSecond.set(other, 875_000)
  made.emulator.faults.disconnectedCallers.delete(other)
  await made.clock.advance(12_000)
  expect(node?.tree.decisions.jobTable.wave(159)).not.toBe(null)
  expect(node?.tree.isReady).toBe(true)
})

test('a process that lags behind the journal counts no waiting jobs', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  const other = made.bystander()
  const count = (): string => JSON.stringify(made.nodes.get(other)?.tree.service.countPending({ host: 'fleet.example', path: '/q/', key: 'key-of-team', deadline: 0 }))
  expect(count()).toBe('{"kind":"pending","count":0}')
  made.emulator.faults.disconnectedCallers.add(other)
  await made.submit(made.owner(), 'aaaa', [{ count: 100 }, { count: 100 }])
  await made.clock.advance(4_000)
  expect(count()).toContain('unsure')
})

test('a process on a small VM owns the journal only if there is none on a larger one', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const made = new EmulatedFleet(seed)
    made.emulator.addVirtualMachine('work', 'a')
    made.configure()
    for (const name of ['small-1', 'small-2', 'small-3']) made.start(name, { processorShare: 0.324, linkMegabitsPerSecond: 10 })
    made.start('large', { processorShare: 0.675, linkMegabitsPerSecond: 200 })
    await made.clock.advance(3_000)
    expect(made.owner()).toBe('large')
    made.kill('large')
    await made.clock.advance(5_000)
    expect(made.owner()).toMatch('small')
  }
})

test('a worker that leaves an order unanswered keeps new work away from its rack until it is heard from', async () => {
  const made = new EmulatedFleet(1)
  const first = made.emulator.addVirtualMachine('work', 'a', 'r1')
  const second = made.emulator.addVirtualMachine('work', 'a', 'r1')
  const third = made.emulator.addVirtualMachine('work', 'a', 'r2')
  made.configure({ hasStandby: false })
  made.start('one')
  await made.clock.advance(2_000)
  for (const worker of [first, second]) if (worker) worker.isDisconnected = true
  // A job fills a worker; the next one comes when the first order's time is up.
  for (const job of ['aaaa', 'bbbb']) {
    await made.submit('one', job, [{ count: 16 }])
    await made.clock.advance(700)
  }
  const unsettled = new Set(made.nodes.get('one')?.log.of('start unsettled').map(({ worker }) => worker))
  expect([...unsettled]).toEqual([first?.id])
  expect(third?.starts.length).toBeGreaterThan(0)
  expect(made.violations()).toEqual([])
})

test('only one of several processes that claim at once becomes owner', async () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const made = await EmulatedFleet.ready(1, ['one', 'two', 'three', 'four', 'five'], seed)
    const begun = [...made.nodes.values()].flatMap(({ log }) => log.of('term begins')).length
    const ended = [...made.nodes.values()].flatMap(({ log }) => log.of('term ends')).length
    expect(begun - ended).toBe(1)
  }
})

test('a lasting task starts elsewhere once the lease on a silent worker has lapsed', async () => {
  const made = await EmulatedFleet.ready(2, ['one'])
  made.fates.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await made.submit('one', 'aaaa', [{ isLasting: true }])
  await made.clock.advance(1_000)
  const [first] = made.starts('aaaa.0.0.0')
  const silent = made.emulator.workerIncarnations.find(({ id }) => id === first?.worker)
  if (silent) silent.isDisconnected = true
  await made.clock.advance(8_000)
  expect(made.starts('aaaa.0.0.0')).toHaveLength(2)
  expect(made.violations()).toEqual([])
})

test('a lost lasting task is not held up by a change of owner', async () => {
  const made = await EmulatedFleet.ready(3, ['one', 'two', 'three'])
  made.fates.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await made.submit('one', 'aaaa', [{ isLasting: true }])
  await made.clock.advance(1_000)
  const worker = made.emulator.workerIncarnations.find(({ id }) => id === made.starts('aaaa.0.0.0')[0]?.worker)
  if (worker) made.emulator.crash(worker)
  await made.clock.advance(1_000)
  await made.end(made.owner())
  await made.clock.advance(6_000)
  expect(made.starts('aaaa.0.0.0')).toHaveLength(2)
})

test('a run that was done behind a cut is not started again once it is heard of', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  made.fates.set('aaaa.0.0.0', { milliseconds: 2_000, result: 'done' })
  await made.submit('one', 'aaaa', [{}])
  await made.clock.advance(500)
  const [worker] = made.emulator.workerIncarnations
  if (worker) worker.isDisconnected = true
  // The lease lapses for the owner while nothing else could take the task.
  await made.clock.advance(7_500)
  if (worker) worker.isDisconnected = false
  await made.clock.advance(4_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(1)
  expect(made.violations()).toEqual([])
})

test('an end is acknowledged only once the journal has it', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  const owner = made.owner()
  const other = made.bystander()
  await made.submit(other, 'aaaa', [{}])
  await made.clock.advance(500)
  made.emulator.faults.refusalStatus = 503
  await made.clock.advance(4_000)
  expect(made.emulator.workerIncarnations.flatMap(({ completions: ends }) => ends).filter(({ acknowledgedAt }) => acknowledgedAt < Infinity)).toEqual([])
  made.kill(owner)
  made.emulator.faults.refusalStatus = 0
  await made.clock.advance(8_000)
  expect(await made.state(other, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('an acknowledgement waits for the append that is on its way', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  const owner = made.owner()
  const other = made.bystander()
  await made.submit(other, 'aaaa', [{ count: 2 }])
  await made.clock.advance(500)
  // The append of the ends never arrives, and never gets an answer.
  made.emulator.faults.disconnectedCallers.add(owner)
  // No other process claims before it has missed the owner for 1.3 s.
  await made.clock.advance(1_000)
  expect(made.emulator.workerIncarnations.flatMap(({ completions: ends }) => ends)).toHaveLength(2)
  expect(made.emulator.workerIncarnations.flatMap(({ completions: ends }) => ends).filter(({ acknowledgedAt }) => acknowledgedAt < Infinity)).toEqual([])
  await made.clock.advance(8_000)
  expect(await made.state(other, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.violations()).toEqual([])
})

test('a start without an answer is stopped before the task starts again', async () => {
  const made = await EmulatedFleet.ready(2, ['one'])
  made.emulator.faults.lateStarts = 3
  await made.submit('one', 'aaaa', [{ count: 6 }])
  await made.clock.advance(15_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.violations()).toEqual([])
})

test('appends whose answers are lost neither lose nor double a job', async () => {
  const made = await EmulatedFleet.ready(2, ['one', 'two'])
  made.emulator.faults.lostAppendResponses = 3
  const answer = await made.submit('one', 'aaaa', [{ count: 3 }, { after: [0] }])
  expect(['accepted', 'unknown']).toContain(answer.kind)
  await made.clock.advance(12_000)
  expect(await made.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.violations()).toEqual([])
})

test('a job that was refused never runs', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  made.emulator.faults.refusalStatus = 429
  const answer = await made.submit('one', 'aaaa', [{}])
  expect(answer.kind).toBe('not-run')
  made.emulator.faults.refusalStatus = 0
  await made.clock.advance(5_000)
  expect(made.starts('aaaa.0.0.0')).toEqual([])
  expect(await made.state('two', 'aaaa')).toEqual({ kind: 'no-job' })
})

test('with the store away for some seconds, what runs goes on and what is asked is answered', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  made.fates.set('aaaa.0.0.0', { milliseconds: 12_000, result: 'done' })
  await made.submit('one', 'aaaa', [{}])
  await made.clock.advance(500)
  made.emulator.faults.refusalStatus = 503
  // Longer than the sites' outages of the whole store; after 8 s an owner lets go, for another one may have taken over.
  await made.clock.advance(6_500)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'running' })
  expect((await made.state('one', 'bbbb')).kind).toBe('unsure')
  made.emulator.faults.refusalStatus = 0
  await made.clock.advance(6_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('all processes killed at once lose nothing', async () => {
  const made = await EmulatedFleet.ready(2, ['one', 'two', 'three'])
  for (const id of ['aaaa', 'bbbb', 'cccc']) await made.submit('two', id, [{ count: 4 }, { count: 2, after: [0] }])
  for (const name of ['one', 'two', 'three']) made.kill(name)
  await made.clock.advance(1_500)
  for (const name of ['four', 'five']) made.start(name)
  await made.clock.advance(15_000)
  for (const id of ['aaaa', 'bbbb', 'cccc']) expect(await made.state('four', id)).toEqual({ kind: 'state', state: 'completed' })
  expect(made.violations()).toEqual([])
})

test('a store that forgets its history is read anew', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  await made.submit('one', 'aaaa', [{}])
  await made.clock.advance(3_000)
  for (const topic of ['keyed.jobs', 'keyed.decisions']) made.emulator.store.partition(topic).compact()
  made.emulator.store.partition('keyed.op').compact()
  made.emulator.store.partition('keyed.servers').compact()
  made.start('three')
  await made.submit('two', 'bbbb', [{}])
  await made.clock.advance(4_000)
  for (const id of ['aaaa', 'bbbb']) expect(await made.state('three', id)).toEqual({ kind: 'state', state: 'completed' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('a worker that starts again under its id runs what it lost once more', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  made.fates.set('aaaa.0.0.0', { milliseconds: 3_000, result: 'done' })
  await made.submit('one', 'aaaa', [{}])
  await made.clock.advance(500)
  const [worker] = made.emulator.workerIncarnations
  if (worker) {
    made.emulator.crash(worker)
    made.emulator.restart(worker)
  }
  await made.clock.advance(6_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(2)
  expect(made.violations()).toEqual([])
})

test('failures that are reported again to a later owner count once', async () => {
  const made = await EmulatedFleet.ready(2, ['one', 'two', 'three'])
  made.fates.set('aaaa.0.0.0', { milliseconds: 100, result: 'failed' })
  const other = made.bystander()
  await made.submit(other, 'aaaa', [{}])
  await made.clock.advance(140)
  made.kill(made.owner())
  await made.clock.advance(20_000)
  const [survivor] = made.nodes.keys()
  expect(await made.state(survivor ?? '', 'aaaa')).toEqual({ kind: 'state', state: 'failed' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(3)
})

test('a late copy of a submission does not bring a finished job back', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  await made.submit('one', 'aaaa', [{}])
  const copy = made.emulator.store.partition('keyed.jobs').newestRecords().find(({ key }) => key === 'job/aaaa')
  await made.clock.advance(5_000)
  expect(made.emulator.store.partition('keyed.jobs').newestRecords().map(({ key }) => key)).not.toContain('job/aaaa')
  made.emulator.store.put('keyed.jobs', 'job/aaaa', JSON.parse(copy?.value.toString() ?? 'null') as object)
  made.kill('one')
  made.start('two')
  await made.clock.advance(6_000)
  expect(await made.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('the state of a finished job is kept as long as promised, and then forgotten', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  await made.submit('one', 'aaaa', [{}])
  await made.clock.advance(100_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  await made.clock.advance(30_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'no-job' })
})

test('an owner cut off with a worker does not keep its runs beyond what the next owner waits', async () => {
  const made = await EmulatedFleet.ready(2, ['one', 'two', 'three'])
  const owner = made.owner()
  const other = made.bystander()
  made.fates.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await made.submit(other, 'aaaa', [{ isLasting: true }])
  await made.clock.advance(1_000)
  const [first] = made.starts('aaaa.0.0.0')
  const worker = made.emulator.workerIncarnations.find(({ id }) => id === first?.worker)
  // The store hears the others only, and only the owner reaches the worker.
  made.emulator.faults.disconnectedCallers.add(owner)
  if (worker) made.emulator.faults.allowedCallers.set(worker.address, new Set([owner]))
  await made.clock.advance(15_000)
  expect(made.starts('aaaa.0.0.0')).toHaveLength(2)
  expect(made.violations()).toEqual([])
})

test('an owner that was suspended does not extend leases as if no time had passed', async () => {
  const made = await EmulatedFleet.ready(2, ['one', 'two', 'three'])
  const owner = made.owner()
  const other = made.bystander()
  made.fates.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await made.submit(other, 'aaaa', [{ isLasting: true }])
  await made.clock.advance(1_000)
  const worker = made.emulator.workerIncarnations.find(({ id }) => id === made.starts('aaaa.0.0.0')[0]?.worker)
  made.emulator.faults.disconnectedCallers.add(owner)
  if (worker) made.emulator.faults.allowedCallers.set(worker.address, new Set([owner]))
  // Shorter than a lease, so that the run is still there when the owner goes on.
  made.nodes.get(owner)?.clock.suspend()
  await made.clock.advance(4_500)
  made.nodes.get(owner)?.clock.resume()
  await made.clock.advance(15_000)
  expect(made.starts('aaaa.0.0.0')).toHaveLength(2)
  expect(made.violations()).toEqual([])
})

test('an owner whose term is lost acknowledges nothing that it could not write', async () => {
  const made = await EmulatedFleet.ready(2, ['one', 'two', 'three'])
  const owner = made.owner()
  const other = made.bystander()
  await made.submit(other, 'aaaa', [{}])
  await made.clock.advance(500)
  const worker = made.emulator.workerIncarnations.find(({ id }) => id === made.starts('aaaa.0.0.0')[0]?.worker)
  // The end reaches the owner alone, which the store doesn't hear until another process has claimed.
  if (worker) made.emulator.faults.allowedCallers.set(worker.address, new Set([owner]))
  made.emulator.faults.disconnectedCallers.add(owner)
  await made.clock.advance(2_500)
  made.emulator.faults.disconnectedCallers.delete(owner)
  await made.clock.advance(15_000)
  expect(made.starts('aaaa.0.0.0')).toHaveLength(2)
  expect(made.violations()).toEqual([])
})

test('after a restart of all processes nobody waits for an owner that is long silent', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  for (const name of ['one', 'two']) made.kill(name)
  await made.clock.advance(2_000)
  const { log } = made.start('three')
  await made.clock.advance(700)
  expect(log.of('term begins')).toHaveLength(1)
})

test('with the store away for nine seconds, what runs is not started again', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  made.fates.set('aaaa.0.0.0', { milliseconds: 12_000, result: 'done' })
  await made.submit('one', 'aaaa', [{}])
  await made.clock.advance(500)
  made.emulator.faults.refusalStatus = 503
  await made.clock.advance(9_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'running' })
  made.emulator.faults.refusalStatus = 0
  await made.clock.advance(6_000)
  expect(await made.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('a late copy of a submission does not bring a job back after its outcome is forgotten either', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  await made.submit('one', 'aaaa', [{}])
  const copy = made.emulator.store.partition('keyed.jobs').newestRecords().find(({ key }) => key === 'job/aaaa')
  await made.clock.advance(5_000)
  made.emulator.store.put('keyed.jobs', 'job/aaaa', JSON.parse(copy?.value.toString() ?? 'null') as object)
  await made.clock.advance(125_000)
  made.kill('one')
  made.start('two')
  await made.clock.advance(6_000)
  expect(await made.state('two', 'aaaa')).toEqual({ kind: 'no-job' })
  expect(made.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('submissions that queue in a slow store delay neither the owner nor what runs', async () => {
  const made = await EmulatedFleet.ready(3, ['one', 'two', 'three'])
  await made.submit('two', 'aaaa', [{ count: 4 }, { count: 4, after: [0] }])
  made.emulator.faults.appendDelays.set('keyed.jobs', 1_900)
  for (let count = 0; count < 6; count++) made.submit('three', `bbb${count}`, [{}]).catch(() => {})
  await made.clock.advance(6_000)
  expect(await made.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect([...made.nodes.values()].flatMap(({ log }) => log.of('term begins'))).toHaveLength(1)
})

test('a process that has read the submissions and not yet the decisions does not deny a job that is over', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  await made.submit('one', 'aaaa', [{}])
  await made.clock.advance(5_000)
  made.emulator.faults.newestReadDelays.set('keyed.decisions', 1_500)
  made.start('two')
  await made.clock.advance(1_000)
  expect((await made.state('two', 'aaaa')).kind).toBe('unsure')
  await made.clock.advance(3_000)
  expect(await made.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('a cancellation that meets the job\'s last end is told alike by all processes', async () => {
  for (let age = 980; age <= 1_060; age += 5) {
    const made = await EmulatedFleet.ready(1, ['one', 'two', 'three'])
    await made.submit('one', 'aaaa', [{}])
    await made.clock.advance(age)
    await made.cancel('two', 'aaaa')
    await made.clock.advance(3_000)
    const states = new Set(await Promise.all(['one', 'two', 'three'].map(async name => JSON.stringify(await made.state(name, 'aaaa')))))
    expect(states.size).toBe(1)
    expect(made.violations()).toEqual([])
  }
})

test('a process whose decisions lag behind its submissions does not deny a job that is over', async () => {
  const made = await EmulatedFleet.ready(1, ['one', 'two'])
  const owner = made.owner()
  const other = made.bystander()
  made.emulator.faults.disconnectedCallers.add(other)
  await made.submit(owner, 'aaaa', [{}])
  await made.clock.advance(5_000)
  // Both topics have to be read anew; the one that still names the job comes later.
  for (const topic of ['keyed.jobs', 'keyed.decisions']) made.emulator.store.partition(topic).compact()
  made.emulator.faults.newestReadDelays.set('keyed.decisions', 900)
  made.emulator.faults.disconnectedCallers.delete(other)
  const kinds = new Set<string>()
  for (let look = 0; look < 60; look++) {
    kinds.add((await made.state(other, 'aaaa')).kind)
    await made.clock.advance(50)
  }
  expect([...kinds]).not.toContain('no-job')
  expect(await made.state(other, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('ends of a worker\'s earlier life acknowledge nothing of its next one', async () => {
  const made = new EmulatedFleet(1)
  const worker = made.emulator.addVirtualMachine('work', 'a')
  made.configure({ hasStandby: false })
  made.start('one')
  await made.clock.advance(2_000)
  await made.submit('one', 'aaaa', [{}])
  await made.clock.advance(500)
  // The end is taken in, and can't be written before the worker has begun its next life.
  made.emulator.faults.refusalStatus = 503
  await made.clock.advance(1_000)
  worker?.kill()
  if (worker) made.emulator.restart(worker)
  await made.clock.advance(400)
  made.emulator.faults.refusalStatus = 0
  await made.clock.advance(2_500)
  await made.submit('one', 'bbbb', [{}])
  await made.clock.advance(8_000)
  expect(await made.state('one', 'bbbb')).toEqual({ kind: 'state', state: 'completed' })
  expect(made.starts('bbbb.0.0.0')).toHaveLength(1)
  expect(made.violations()).toEqual([])
})

test('a finished job is forgotten by one record, also where dropping its submission takes a while', async () => {
  const made = await EmulatedFleet.ready(1, ['one'])
  await made.submit('one', 'aaaa', [{}])
  await made.clock.advance(5_000)
  made.emulator.faults.appendDelays.set('keyed.jobs', 1_200)
  await made.clock.advance(260_000)
  const dropped = made.emulator.store.partition('keyed.decisions').read(0)?.filter(bytes => bytes.subarray(1).toString() === 'over/aaaa')
  expect(dropped).toHaveLength(1)
})
