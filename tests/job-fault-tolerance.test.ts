/**
 * Tests of jobs during failures of workers, processes and the store, against the platform's emulator.
 */
import { expect, test } from 'vitest'
import { EmulatedFleet } from './support/emulated-fleet.js'

test('when the owner is killed, another process takes over and running tasks continue', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two', 'three'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 8_000, result: 'done' })
  const owner = fleet.owner()
  const other = fleet.nonOwner()
  await fleet.submit(other, 'aaaa', [{}, { after: [0] }])
  await fleet.clock.advance(500)
  fleet.kill(owner)
  await fleet.clock.advance(12_000)
  expect(await fleet.state(other, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
  expect(fleet.violations()).toEqual([])
})

test('ownership stays with the owner while other processes stop and start', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  const other = fleet.nonOwner()
  fleet.start('three')
  await fleet.clock.advance(3_000)
  await fleet.shutDown(other)
  fleet.start(other)
  await fleet.clock.advance(3_000)
  expect([...fleet.nodes.values()].flatMap(({ log }) => log.fieldsOf('term begins'))).toHaveLength(1)
})

test('an owner that shuts down gracefully hands over ownership within a second', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  const owner = fleet.owner()
  const other = fleet.nonOwner()
  fleet.nodes.get(owner)?.stop.abort()
  await fleet.clock.advance(1_000)
  expect(fleet.nodes.get(other)?.log.fieldsOf('term begins')).toHaveLength(1)
})

test.each([0, 20])('decisions made %i ms before the owner shuts down gracefully are neither lost nor repeated', async age => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  const owner = fleet.owner()
  const other = fleet.nonOwner()
  fleet.emulator.faults.startLatencyMilliseconds = 100
  for (let index = 0; index < 4; index++) fleet.outcomesByTask.set(`aaaa.0.0.${index}`, { milliseconds: 3_000, result: 'done' })
  await fleet.submit(other, 'aaaa', [{ count: 4 }])
  while (fleet.nodes.get(owner)?.log.fieldsOf('runs placed').length === 0) await fleet.clock.advance(5)
  // Depending on its age, the decision is being appended or its orders are in transit.
  await fleet.clock.advance(age)
  fleet.nodes.get(owner)?.stop.abort()
  await fleet.clock.advance(10_000)
  expect(await fleet.state(other, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  for (let index = 0; index < 4; index++) expect(fleet.starts(`aaaa.0.0.${index}`).map(({ run }) => run)).toEqual([1])
  expect(fleet.violations()).toEqual([])
})

test('a process on a slow link catches up after falling far behind the journal', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  const other = fleet.nonOwner()
  const node = fleet.nodes.get(other)
  fleet.emulator.faults.disconnectedCallers.add(other)
  // 3 MB in each of two topics take seven seconds over the slowest link of the platform, 7 Mbit/s.
  for (let count = 0; count < 60; count++) {
    for (const topic of ['keyed.decisions', 'keyed.jobs']) fleet.emulator.store.put(topic, `wave/${count + 100}`, { wave: count + 100, ordered: ['x'.repeat(50_000)], begun: [], isCompleted: true })
  }
  fleet.emulator.faults.linkBytesPerSecond.set(other, 875_000)
  fleet.emulator.faults.disconnectedCallers.delete(other)
  await fleet.clock.advance(12_000)
  expect(node?.tree.decisions.jobTable.wave(159)).not.toBe(null)
  expect(node?.tree.isReady).toBe(true)
})

test('a process that is behind the journal reports no count of pending jobs', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  const other = fleet.nonOwner()
  const pendingCount = (): string => JSON.stringify(fleet.nodes.get(other)?.tree.service.countPending({ host: 'fleet.example', path: '/q/', key: 'key-of-team', deadline: 0 }))
  expect(pendingCount()).toBe('{"kind":"pending","count":0}')
  fleet.emulator.faults.disconnectedCallers.add(other)
  await fleet.submit(fleet.owner(), 'aaaa', [{ count: 100 }, { count: 100 }])
  await fleet.clock.advance(4_000)
  expect(pendingCount()).toContain('unsure')
})

test('a process on a small VM becomes owner only if no process runs on a larger VM', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const fleet = new EmulatedFleet(seed)
    fleet.emulator.addVirtualMachine('work', 'a')
    fleet.configure()
    for (const name of ['small-1', 'small-2', 'small-3']) fleet.start(name, { processorShare: 0.324, linkMegabitsPerSecond: 10 })
    fleet.start('large', { processorShare: 0.675, linkMegabitsPerSecond: 200 })
    await fleet.clock.advance(3_000)
    expect(fleet.owner()).toBe('large')
    fleet.kill('large')
    await fleet.clock.advance(5_000)
    expect(fleet.owner()).toMatch('small')
  }
})

test('after an unanswered order to a worker, no other worker of its rack gets new tasks before its next report', async () => {
  const fleet = new EmulatedFleet(1)
  const first = fleet.emulator.addVirtualMachine('work', 'a', 'r1')
  const second = fleet.emulator.addVirtualMachine('work', 'a', 'r1')
  const third = fleet.emulator.addVirtualMachine('work', 'a', 'r2')
  fleet.configure({ hasStandby: false })
  fleet.start('one')
  await fleet.clock.advance(2_000)
  for (const worker of [first, second]) if (worker) worker.isDisconnected = true
  // Each job fills one worker; the second job is submitted when the first order times out.
  for (const job of ['aaaa', 'bbbb']) {
    await fleet.submit('one', job, [{ count: 16 }])
    await fleet.clock.advance(700)
  }
  const unconfirmed = new Set(fleet.nodes.get('one')?.log.fieldsOf('start unsettled').map(({ worker }) => worker))
  expect([...unconfirmed]).toEqual([first?.id])
  expect(third?.starts.length).toBeGreaterThan(0)
  if (second) second.isDisconnected = false
  await fleet.clock.advance(2_500)
  await fleet.submit('one', 'cccc', [{ count: 40 }])
  await fleet.clock.advance(1_000)
  expect(second?.starts.length).toBeGreaterThan(0)
  expect(fleet.violations()).toEqual([])
})

test('only one of several processes that claim a term at the same time becomes owner', async () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const fleet = await EmulatedFleet.create(1, ['one', 'two', 'three', 'four', 'five'], seed)
    const begunTerms = [...fleet.nodes.values()].flatMap(({ log }) => log.fieldsOf('term begins')).length
    const endedTerms = [...fleet.nodes.values()].flatMap(({ log }) => log.fieldsOf('term ends')).length
    expect(begunTerms - endedTerms).toBe(1)
  }
})

test('a lasting task starts on another worker once the lease of an unreachable worker has expired', async () => {
  const fleet = await EmulatedFleet.create(2, ['one'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  await fleet.clock.advance(1_000)
  const [firstStart] = fleet.starts('aaaa.0.0.0')
  const unreachableWorker = fleet.emulator.workerIncarnations.find(({ id }) => id === firstStart?.worker)
  if (unreachableWorker) unreachableWorker.isDisconnected = true
  await fleet.clock.advance(8_000)
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(2)
  expect(fleet.violations()).toEqual([])
})

test('a change of owner does not delay the restart of a lost lasting task', async () => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two', 'three'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  await fleet.clock.advance(1_000)
  const worker = fleet.emulator.workerIncarnations.find(({ id }) => id === fleet.starts('aaaa.0.0.0')[0]?.worker)
  if (worker) fleet.emulator.crash(worker)
  await fleet.clock.advance(1_000)
  await fleet.shutDown(fleet.owner())
  await fleet.clock.advance(6_000)
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(2)
})

test('a run that completed on an unreachable worker is not repeated once the worker reports it', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 2_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(500)
  const [worker] = fleet.emulator.workerIncarnations
  if (worker) worker.isDisconnected = true
  // In the owner's view the lease expires while no other worker could run the task.
  await fleet.clock.advance(7_500)
  if (worker) worker.isDisconnected = false
  await fleet.clock.advance(4_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
  expect(fleet.violations()).toEqual([])
})

test('a run completion is acknowledged only once it is in the journal', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  const owner = fleet.owner()
  const other = fleet.nonOwner()
  await fleet.submit(other, 'aaaa', [{}])
  await fleet.clock.advance(500)
  fleet.emulator.faults.refusalStatus = 503
  await fleet.clock.advance(4_000)
  expect(fleet.emulator.workerIncarnations.flatMap(({ completions }) => completions).filter(({ acknowledgedAt }) => acknowledgedAt < Infinity)).toEqual([])
  fleet.kill(owner)
  fleet.emulator.faults.refusalStatus = 0
  await fleet.clock.advance(8_000)
  expect(await fleet.state(other, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('an acknowledgement waits for the append in progress', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  const owner = fleet.owner()
  const other = fleet.nonOwner()
  await fleet.submit(other, 'aaaa', [{ count: 2 }])
  await fleet.clock.advance(500)
  // The append of the run completions never reaches the store and never gets a response.
  fleet.emulator.faults.disconnectedCallers.add(owner)
  // Another process claims the next term only after 1.3 s without a record from the owner.
  await fleet.clock.advance(1_000)
  expect(fleet.emulator.workerIncarnations.flatMap(({ completions }) => completions)).toHaveLength(2)
  expect(fleet.emulator.workerIncarnations.flatMap(({ completions }) => completions).filter(({ acknowledgedAt }) => acknowledgedAt < Infinity)).toEqual([])
  await fleet.clock.advance(8_000)
  expect(await fleet.state(other, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.violations()).toEqual([])
})

test('a run whose start got no response is stopped before the task starts again', async () => {
  const fleet = await EmulatedFleet.create(2, ['one'])
  fleet.emulator.faults.lateStarts = 3
  await fleet.submit('one', 'aaaa', [{ count: 6 }])
  await fleet.clock.advance(15_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.violations()).toEqual([])
})

test('appends whose responses are lost neither lose nor duplicate a job', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two'])
  fleet.emulator.faults.lostAppendResponses = 3
  const response = await fleet.submit('one', 'aaaa', [{ count: 3 }, { after: [0] }])
  expect(['accepted', 'unknown']).toContain(response.kind)
  await fleet.clock.advance(12_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.violations()).toEqual([])
})

test('a job that was refused never runs', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  fleet.emulator.faults.refusalStatus = 429
  const response = await fleet.submit('one', 'aaaa', [{}])
  expect(response.kind).toBe('not-run')
  fleet.emulator.faults.refusalStatus = 0
  await fleet.clock.advance(5_000)
  expect(fleet.starts('aaaa.0.0.0')).toEqual([])
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'no-job' })
})

test('during a store outage of some seconds, running tasks continue and requests get responses', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 12_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(500)
  fleet.emulator.faults.refusalStatus = 503
  // Longer than outages of the whole store last at the sites.
  // An owner stops renewing leases 6 s after the store last confirmed its term, because another process may have taken over since.
  await fleet.clock.advance(6_500)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'running' })
  expect((await fleet.state('one', 'bbbb')).kind).toBe('unsure')
  fleet.emulator.faults.refusalStatus = 0
  await fleet.clock.advance(6_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('killing all processes at once loses no jobs', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two', 'three'])
  for (const id of ['aaaa', 'bbbb', 'cccc']) await fleet.submit('two', id, [{ count: 4 }, { count: 2, after: [0] }])
  for (const name of ['one', 'two', 'three']) fleet.kill(name)
  await fleet.clock.advance(1_500)
  for (const name of ['four', 'five']) fleet.start(name)
  await fleet.clock.advance(15_000)
  for (const id of ['aaaa', 'bbbb', 'cccc']) expect(await fleet.state('four', id)).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.violations()).toEqual([])
})

test('a process that starts after the store has compacted its topics knows earlier and later jobs, and no finished task runs again', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(3_000)
  for (const topic of ['keyed.jobs', 'keyed.decisions']) fleet.emulator.store.partition(topic).compact()
  fleet.emulator.store.partition('keyed.op').compact()
  fleet.emulator.store.partition('keyed.servers').compact()
  fleet.start('three')
  await fleet.submit('two', 'bbbb', [{}])
  await fleet.clock.advance(4_000)
  for (const id of ['aaaa', 'bbbb']) expect(await fleet.state('three', id)).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('a worker that restarts under the same ID runs its lost task again', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 3_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(500)
  const [worker] = fleet.emulator.workerIncarnations
  if (worker) {
    fleet.emulator.crash(worker)
    fleet.emulator.restart(worker)
  }
  await fleet.clock.advance(6_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(2)
  expect(fleet.violations()).toEqual([])
})

test('a failed run that is reported again to the next owner counts once', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two', 'three'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 100, result: 'failed' })
  const other = fleet.nonOwner()
  await fleet.submit(other, 'aaaa', [{}])
  await fleet.clock.advance(140)
  fleet.kill(fleet.owner())
  await fleet.clock.advance(20_000)
  const [survivor] = fleet.nodes.keys()
  expect(await fleet.state(survivor ?? '', 'aaaa')).toEqual({ kind: 'state', state: 'failed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(3)
})

test('a late copy of a submission does not restart a finished job', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  await fleet.submit('one', 'aaaa', [{}])
  const copy = fleet.emulator.store.partition('keyed.jobs').newestRecords().find(({ key }) => key === 'job/aaaa')
  await fleet.clock.advance(5_000)
  expect(fleet.emulator.store.partition('keyed.jobs').newestRecords().map(({ key }) => key)).not.toContain('job/aaaa')
  fleet.emulator.store.put('keyed.jobs', 'job/aaaa', JSON.parse(copy?.value.toString() ?? 'null') as object)
  fleet.kill('one')
  fleet.start('two')
  await fleet.clock.advance(6_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('the state of a finished job is kept for the retention time and then removed', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(100_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  await fleet.clock.advance(30_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'no-job' })
})

test('an owner isolated together with a worker does not keep the worker\'s runs active beyond the time that the next owner waits', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two', 'three'])
  const owner = fleet.owner()
  const other = fleet.nonOwner()
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await fleet.submit(other, 'aaaa', [{ isLasting: true }])
  await fleet.clock.advance(1_000)
  const [firstStart] = fleet.starts('aaaa.0.0.0')
  const worker = fleet.emulator.workerIncarnations.find(({ id }) => id === firstStart?.worker)
  // Only the other processes reach the store, and only the owner reaches the worker.
  fleet.emulator.faults.disconnectedCallers.add(owner)
  if (worker) fleet.emulator.faults.allowedCallers.set(worker.address, new Set([owner]))
  await fleet.clock.advance(15_000)
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(2)
  expect(fleet.violations()).toEqual([])
})

test('an owner that resumes after a suspension does not renew leases as if no time had passed', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two', 'three'])
  const owner = fleet.owner()
  const other = fleet.nonOwner()
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await fleet.submit(other, 'aaaa', [{ isLasting: true }])
  await fleet.clock.advance(1_000)
  const worker = fleet.emulator.workerIncarnations.find(({ id }) => id === fleet.starts('aaaa.0.0.0')[0]?.worker)
  fleet.emulator.faults.disconnectedCallers.add(owner)
  if (worker) fleet.emulator.faults.allowedCallers.set(worker.address, new Set([owner]))
  // Shorter than a lease, so that the run is still active when the owner resumes.
  fleet.nodes.get(owner)?.clock.suspend()
  await fleet.clock.advance(4_500)
  fleet.nodes.get(owner)?.clock.resume()
  await fleet.clock.advance(15_000)
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(2)
  expect(fleet.violations()).toEqual([])
})

test('an owner that has lost its term acknowledges no run completion that it could not write', async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two', 'three'])
  const owner = fleet.owner()
  const other = fleet.nonOwner()
  await fleet.submit(other, 'aaaa', [{}])
  await fleet.clock.advance(500)
  const worker = fleet.emulator.workerIncarnations.find(({ id }) => id === fleet.starts('aaaa.0.0.0')[0]?.worker)
  // The run completion reaches only the owner, which can't reach the store until another process has claimed the next term.
  if (worker) fleet.emulator.faults.allowedCallers.set(worker.address, new Set([owner]))
  fleet.emulator.faults.disconnectedCallers.add(owner)
  await fleet.clock.advance(2_500)
  fleet.emulator.faults.disconnectedCallers.delete(owner)
  await fleet.clock.advance(15_000)
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(2)
  expect(fleet.violations()).toEqual([])
})

test('after a restart of all processes, no claim waits for an owner that has long been inactive', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  for (const name of ['one', 'two']) fleet.kill(name)
  await fleet.clock.advance(2_000)
  const { log } = fleet.start('three')
  await fleet.clock.advance(700)
  expect(log.fieldsOf('term begins')).toHaveLength(1)
})

test('a store outage of nine seconds does not cause running tasks to start again', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 12_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(500)
  fleet.emulator.faults.refusalStatus = 503
  await fleet.clock.advance(9_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'running' })
  fleet.emulator.faults.refusalStatus = 0
  await fleet.clock.advance(6_000)
  expect(await fleet.state('one', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('a late copy of a submission does not restart a finished job after its outcome has been removed', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  await fleet.submit('one', 'aaaa', [{}])
  const copy = fleet.emulator.store.partition('keyed.jobs').newestRecords().find(({ key }) => key === 'job/aaaa')
  await fleet.clock.advance(5_000)
  fleet.emulator.store.put('keyed.jobs', 'job/aaaa', JSON.parse(copy?.value.toString() ?? 'null') as object)
  await fleet.clock.advance(125_000)
  fleet.kill('one')
  fleet.start('two')
  await fleet.clock.advance(6_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'no-job' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
})

test('submissions that queue up in a slow store delay neither the owner nor running jobs', async () => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two', 'three'])
  await fleet.submit('two', 'aaaa', [{ count: 4 }, { count: 4, after: [0] }])
  fleet.emulator.faults.appendDelays.set('keyed.jobs', 1_900)
  for (let count = 0; count < 6; count++) fleet.submit('three', `bbb${count}`, [{}]).catch(() => {})
  await fleet.clock.advance(6_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect([...fleet.nodes.values()].flatMap(({ log }) => log.fieldsOf('term begins'))).toHaveLength(1)
})

test('a starting process that has read the submissions but not yet the decisions does not deny a finished job', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(5_000)
  fleet.emulator.faults.newestReadDelays.set('keyed.decisions', 1_500)
  fleet.start('two')
  await fleet.clock.advance(1_000)
  expect((await fleet.state('two', 'aaaa')).kind).toBe('unsure')
  await fleet.clock.advance(3_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('all processes report the same state when a cancellation coincides with the last run completion of the job', async () => {
  for (let age = 980; age <= 1_060; age += 5) {
    const fleet = await EmulatedFleet.create(1, ['one', 'two', 'three'])
    await fleet.submit('one', 'aaaa', [{}])
    await fleet.clock.advance(age)
    await fleet.cancel('two', 'aaaa')
    await fleet.clock.advance(3_000)
    const states = new Set(await Promise.all(['one', 'two', 'three'].map(async name => JSON.stringify(await fleet.state(name, 'aaaa')))))
    expect(states.size).toBe(1)
    expect(fleet.violations()).toEqual([])
  }
})

test('a process whose view of the decisions is older than its view of the submissions does not deny a finished job', async () => {
  const fleet = await EmulatedFleet.create(1, ['one', 'two'])
  const owner = fleet.owner()
  const other = fleet.nonOwner()
  fleet.emulator.faults.disconnectedCallers.add(other)
  await fleet.submit(owner, 'aaaa', [{}])
  await fleet.clock.advance(5_000)
  // Both topics have to be read again from their newest records; the one that still names the job is read later.
  for (const topic of ['keyed.jobs', 'keyed.decisions']) fleet.emulator.store.partition(topic).compact()
  fleet.emulator.faults.newestReadDelays.set('keyed.decisions', 900)
  fleet.emulator.faults.disconnectedCallers.delete(other)
  const kinds = new Set<string>()
  for (let poll = 0; poll < 60; poll++) {
    kinds.add((await fleet.state(other, 'aaaa')).kind)
    await fleet.clock.advance(50)
  }
  expect([...kinds]).not.toContain('no-job')
  expect(await fleet.state(other, 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('acknowledging a run completion of a worker\'s earlier incarnation acknowledges none of its next incarnation', async () => {
  const fleet = new EmulatedFleet(1)
  const worker = fleet.emulator.addVirtualMachine('work', 'a')
  fleet.configure({ hasStandby: false })
  fleet.start('one')
  await fleet.clock.advance(2_000)
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(500)
  // The owner receives the run completion but can't write it before the worker's next incarnation has started.
  fleet.emulator.faults.refusalStatus = 503
  await fleet.clock.advance(1_000)
  worker?.terminate()
  if (worker) fleet.emulator.restart(worker)
  await fleet.clock.advance(400)
  fleet.emulator.faults.refusalStatus = 0
  await fleet.clock.advance(2_500)
  await fleet.submit('one', 'bbbb', [{}])
  await fleet.clock.advance(8_000)
  expect(await fleet.state('one', 'bbbb')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('bbbb.0.0.0')).toHaveLength(1)
  expect(fleet.violations()).toEqual([])
})

test('the outcome of a finished job is removed by a single record, even if removing its submission is slow', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(5_000)
  fleet.emulator.faults.appendDelays.set('keyed.jobs', 1_200)
  await fleet.clock.advance(260_000)
  const tombstones = fleet.emulator.store.partition('keyed.decisions').read(0)?.filter(bytes => bytes.subarray(1).toString() === 'over/aaaa')
  expect(tombstones).toHaveLength(1)
})
