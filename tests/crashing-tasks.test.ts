/**
 * Tests of tasks that crash the workers that start them, and of losses of runs that are no crash.
 */
import { expect, test } from 'vitest'
import type { StepDefinition } from '../src/jobs/step-definition.js'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Starts of a task up to which it has not been started three times more after its third crash. */
const MAXIMUM_STARTS = 5

/** Time after its start at which a deadly run crashes its worker. */
const CRASH = { milliseconds: 10, result: 'crash' } as const

/** The most starts of any task of a job's first step. */
function mostStarts (fleet: EmulatedFleet, job: string, tasks: number, occurrence = 0): number {
  return Math.max(...Array.from({ length: tasks }, (_, index) => fleet.starts(`${job}.${occurrence}.0.${index}`).length))
}

/** The worker incarnation that runs a task at present. */
function workerOf (fleet: EmulatedFleet, task: string): EmulatedWorker | undefined {
  return fleet.emulator.workerIncarnations.find(({ running, isTerminated }) => !isTerminated && running.includes(task))
}

const kinds: readonly [string, Partial<StepDefinition>, Parameters<EmulatedFleet['submit']>[3]][] = [
  ['plain', { count: 1 }, {}],
  ['gang', { count: 3, isGang: true }, {}],
  ['lasting', { count: 2, isLasting: true }, {}],
  ['speculative', { count: 2, isSpeculative: true }, {}],
  ['timed', { count: 1 }, { occurrences: 3, startAt: 1_700_000_004_000, intervalMilliseconds: 3_000 }]
]

test.each(kinds)('a %s task that crashes its workers is given up before it has been started three times more after three crashes', async (_, step, options) => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'])
  for (let occurrence = 0; occurrence < 3; occurrence++) fleet.outcomesByTask.set(`dead.${occurrence}.0.0`, CRASH)
  if (step.isLasting) fleet.outcomesByTask.set('dead.0.0.1', { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'dead', [step], options)
  await fleet.clock.advance(60_000)
  expect(mostStarts(fleet, 'dead', step.count ?? 1)).toBeGreaterThan(1)
  for (let occurrence = 0; occurrence < 3; occurrence++) expect(mostStarts(fleet, 'dead', step.count ?? 1, occurrence)).toBeLessThanOrEqual(MAXIMUM_STARTS)
  expect(await fleet.state('two', 'dead')).toEqual({ kind: 'state', state: 'failed' })
})

test.each([
  ['back as another worker', 3_000, false],
  ['back under its ID', 3_000, true],
  ['back after its lease has expired', 9_000, false],
  ['back under its ID after its lease has expired', 9_000, true]
])('crashes count when the worker is %s', async (_, downtime, keepsId) => {
  const fleet = await EmulatedFleet.create(4, ['one'])
  fleet.emulator.faults.crashDowntimeMilliseconds = downtime
  fleet.emulator.faults.keepsIdAfterCrash = keepsId
  fleet.outcomesByTask.set('dead.0.0.0', CRASH)
  await fleet.submit('one', 'dead', [{}])
  await fleet.clock.advance(120_000)
  expect(mostStarts(fleet, 'dead', 1)).toBeLessThanOrEqual(MAXIMUM_STARTS)
  expect(await fleet.state('one', 'dead')).toEqual({ kind: 'state', state: 'failed' })
})

test('crashes count although the next worker at the address has left before it was called', async () => {
  const fleet = await EmulatedFleet.create(4, ['one'])
  fleet.outcomesByTask.set('dead.0.0.0', CRASH)
  await fleet.submit('one', 'dead', [{}])
  const known = new Set(fleet.emulator.workerIncarnations)
  for (let elapsed = 0; elapsed < 60_000; elapsed += 10) {
    await fleet.clock.advance(10)
    for (const worker of fleet.emulator.workerIncarnations) {
      if (known.has(worker)) continue
      known.add(worker)
      fleet.emulator.shutDown(worker)
      fleet.emulator.addVirtualMachine('work', 'a')
      known.add(fleet.emulator.workerIncarnations[fleet.emulator.workerIncarnations.length - 1] ?? worker)
    }
  }
  expect(mostStarts(fleet, 'dead', 1)).toBeLessThanOrEqual(MAXIMUM_STARTS)
  expect(await fleet.state('one', 'dead')).toEqual({ kind: 'state', state: 'failed' })
})

// Guards against a culprit that takes others along on its next worker, because the crash of the first one isn't proved before that worker is back.
test('nothing starts beside a task whose worker has crashed and is not back yet', async () => {
  const fleet = await EmulatedFleet.create(3, ['one'], 1, false)
  fleet.emulator.faults.crashDowntimeMilliseconds = 20_000
  fleet.outcomesByTask.set('dead.0.0.0', { milliseconds: 250, result: 'crash' })
  await fleet.submit('one', 'dead', [{}])
  while (fleet.starts('dead.0.0.0').length < 2) await fleet.clock.advance(10)
  await fleet.submit('one', 'good', [{ count: 12 }])
  await fleet.clock.advance(150)
  const [, next] = fleet.starts('dead.0.0.0')
  const beside = fleet.emulator.workerIncarnations.flatMap(({ id, starts }) => id === next?.worker ? starts.filter(({ task }) => task.startsWith('good')) : [])
  expect(beside).toEqual([])
})

test('tasks beside one that crashes its workers complete, and are not lost again and again', async () => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'])
  for (let round = 0; round < 6; round++) {
    fleet.outcomesByTask.set(`dead${round}.0.0.0`, CRASH)
    await fleet.submit('one', `dead${round}`, [{ count: 3 }])
    for (let job = 0; job < 3; job++) await fleet.submit('two', `good${round}${job}`, [{ count: 3 }])
    await fleet.clock.advance(1_500)
  }
  await fleet.clock.advance(60_000)
  for (let round = 0; round < 6; round++) {
    for (let job = 0; job < 3; job++) {
      expect(await fleet.state('two', `good${round}${job}`)).toEqual({ kind: 'state', state: 'completed' })
      expect(mostStarts(fleet, `good${round}${job}`, 3)).toBeLessThanOrEqual(MAXIMUM_STARTS)
    }
    expect(mostStarts(fleet, `dead${round}`, 3)).toBeLessThanOrEqual(MAXIMUM_STARTS)
    expect(await fleet.state('two', `dead${round}`)).toEqual({ kind: 'state', state: 'failed' })
  }
  expect(fleet.violations()).toEqual([])
})

test.each([100, 1_000, 2_900])('the count of crashes survives an owner that is killed %i ms after each crash', async delay => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'])
  fleet.outcomesByTask.set('dead.0.0.0', CRASH)
  await fleet.submit('one', 'dead', [{}, { after: [0] }])
  for (let crash = 1; crash <= 8; crash++) {
    for (let elapsed = 0; elapsed < 30_000 && mostStarts(fleet, 'dead', 1) < crash; elapsed += 50) await fleet.clock.advance(50)
    if (mostStarts(fleet, 'dead', 1) < crash) break
    await fleet.clock.advance(delay)
    fleet.kill(fleet.owner())
    fleet.start(`next-${crash}`)
    await fleet.clock.advance(1_000)
  }
  await fleet.clock.advance(30_000)
  expect(mostStarts(fleet, 'dead', 1)).toBeLessThanOrEqual(MAXIMUM_STARTS)
  expect(await fleet.state([...fleet.nodes.keys()][0] ?? '', 'dead')).toEqual({ kind: 'state', state: 'failed' })
})

test('the count of crashes survives a restart of all processes and the compaction of the store', async () => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'])
  fleet.outcomesByTask.set('dead.0.0.0', CRASH)
  await fleet.submit('one', 'dead', [{}])
  for (let restart = 1; restart <= 8; restart++) {
    const startsBefore = mostStarts(fleet, 'dead', 1)
    for (let elapsed = 0; elapsed < 30_000 && mostStarts(fleet, 'dead', 1) === startsBefore; elapsed += 50) await fleet.clock.advance(50)
    await fleet.clock.advance(3_500)
    for (const name of [...fleet.nodes.keys()]) fleet.kill(name)
    for (const topic of ['keyed.op', 'keyed.servers', 'keyed.jobs', 'keyed.decisions']) fleet.emulator.store.partition(topic).compact()
    for (const name of ['a', 'b']) fleet.start(`${name}${restart}`)
    await fleet.clock.advance(2_000)
  }
  expect(mostStarts(fleet, 'dead', 1)).toBeLessThanOrEqual(MAXIMUM_STARTS)
  expect(await fleet.state('a8', 'dead')).toEqual({ kind: 'state', state: 'failed' })
})

test('crashes count while the store is away from one crash to the next', async () => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'])
  fleet.outcomesByTask.set('dead.0.0.0', CRASH)
  await fleet.submit('one', 'dead', [{}])
  for (let crash = 1; crash <= 8; crash++) {
    for (let elapsed = 0; elapsed < 30_000 && mostStarts(fleet, 'dead', 1) < crash; elapsed += 10) await fleet.clock.advance(10)
    if (mostStarts(fleet, 'dead', 1) < crash) break
    fleet.emulator.faults.refusalStatus = 503
    await fleet.clock.advance(4_000)
    fleet.emulator.faults.refusalStatus = 0
  }
  await fleet.clock.advance(30_000)
  expect(mostStarts(fleet, 'dead', 1)).toBeLessThanOrEqual(MAXIMUM_STARTS)
  expect(await fleet.state('one', 'dead')).toEqual({ kind: 'state', state: 'failed' })
})

test.each(['silence', 'drain', 'maintenance', 'refused connections'])('a task that is lost six times by %s does not fail', async cause => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 30_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  for (let loss = 1; loss <= 6; loss++) {
    for (let elapsed = 0; elapsed < 30_000 && !workerOf(fleet, 'aaaa.0.0.0'); elapsed += 50) await fleet.clock.advance(50)
    // Long enough for a report, short enough for the run to count as just started.
    await fleet.clock.advance(200)
    const worker = workerOf(fleet, 'aaaa.0.0.0')
    if (!worker) throw new Error('the task is not running')
    if (cause === 'drain') {
      fleet.emulator.drain(worker)
      await fleet.clock.advance(2_500)
      fleet.emulator.shutDown(worker)
      fleet.emulator.addVirtualMachine('work', 'a')
    } else if (cause === 'maintenance') {
      fleet.emulator.publish(`wave/${loss}`, { wave: loss, machines: [worker.virtualMachine], duration_s: 20, max_count: 1 })
      await fleet.clock.advance(9_000)
    } else {
      worker.isDisconnected = true
      if (cause === 'refused connections') fleet.emulator.faults.refusedAddresses.add(worker.address)
      await fleet.clock.advance(9_000)
      worker.isDisconnected = false
      fleet.emulator.faults.refusedAddresses.clear()
    }
    await fleet.clock.advance(1_000)
  }
  await fleet.clock.advance(45_000)
  expect(fleet.starts('aaaa.0.0.0').length).toBeGreaterThan(5)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('a task whose workers refuse connections until their lease has expired does not fail when the owner is lost then and they are back', async () => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 30_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  for (let loss = 1; loss <= 6; loss++) {
    for (let elapsed = 0; elapsed < 30_000 && !workerOf(fleet, 'aaaa.0.0.0'); elapsed += 50) await fleet.clock.advance(50)
    await fleet.clock.advance(200)
    const worker = workerOf(fleet, 'aaaa.0.0.0')
    if (!worker) throw new Error('the task is not running')
    worker.isDisconnected = true
    fleet.emulator.faults.refusedAddresses.add(worker.address)
    for (let elapsed = 0; elapsed < 30_000 && fleet.starts('aaaa.0.0.0').length === loss; elapsed += 50) await fleet.clock.advance(50)
    fleet.kill(fleet.owner())
    fleet.start(`next-${loss}`)
    worker.isDisconnected = false
    fleet.emulator.faults.refusedAddresses.clear()
    await fleet.clock.advance(4_000)
  }
  await fleet.clock.advance(45_000)
  expect(fleet.starts('aaaa.0.0.0').length).toBeGreaterThan(5)
  expect(await fleet.state(fleet.nonOwner(), 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test.each([true, false])('a task is not blamed when its worker refused connections, responded again, and was then restarted (owner changes: %s)', async changesOwner => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two'], 1, false)
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 30_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  for (let loss = 1; loss <= 5; loss++) {
    for (let elapsed = 0; elapsed < 30_000 && !workerOf(fleet, 'aaaa.0.0.0'); elapsed += 50) await fleet.clock.advance(50)
    await fleet.clock.advance(200)
    const worker = workerOf(fleet, 'aaaa.0.0.0')
    if (!worker) throw new Error('the task is not running')
    worker.isDisconnected = true
    fleet.emulator.faults.refusedAddresses.add(worker.address)
    for (let elapsed = 0; elapsed < 30_000 && fleet.starts('aaaa.0.0.0').length === loss; elapsed += 50) await fleet.clock.advance(50)
    worker.isDisconnected = false
    fleet.emulator.faults.refusedAddresses.clear()
    await fleet.clock.advance(2_000)
    if (changesOwner) {
      fleet.kill(fleet.owner())
      fleet.start(`next-${loss}`)
      await fleet.clock.advance(4_000)
    }
    fleet.emulator.shutDown(worker)
    fleet.emulator.restart(worker)
    await fleet.clock.advance(1_000)
  }
  await fleet.clock.advance(45_000)
  expect(fleet.starts('aaaa.0.0.0').length).toBeGreaterThan(5)
  expect(await fleet.state(fleet.nonOwner(), 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
})

test('a lasting task is not failed by workers that crash long after its start', async () => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  for (let crash = 1; crash <= 8; crash++) {
    await fleet.clock.advance(15_000)
    const worker = workerOf(fleet, 'aaaa.0.0.0')
    worker?.onCrash()
    await fleet.clock.advance(6_000)
  }
  expect(workerOf(fleet, 'aaaa.0.0.0')).toBeDefined()
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(9)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'running' })
})

test('runs that were started on the next incarnation before the restart was known are not blamed for it', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'])
  const [worker] = fleet.emulator.workerIncarnations
  if (!worker) throw new Error('no worker')
  // Without downtime and before the worker has registered again, the owner learns of the restart by the next report.
  fleet.emulator.faults.registrationMilliseconds = 4_000
  fleet.emulator.crash(worker)
  fleet.emulator.restart(worker)
  await fleet.clock.advance(100)
  await fleet.submit('one', 'bbbb', [{ count: 4 }])
  await fleet.clock.advance(10_000)
  expect(await fleet.state('one', 'bbbb')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.nodes.get('one')?.log.fieldsOf('worker crashed under run')).toEqual([])
})

test('tasks whose workers all crash twice complete', async () => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'])
  for (let index = 0; index < 20; index++) fleet.outcomesByTask.set(`aaaa.0.0.${index}`, { milliseconds: 4_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ count: 20 }])
  for (let crash = 1; crash <= 2; crash++) {
    await fleet.clock.advance(1_000)
    for (const worker of [...fleet.emulator.workerIncarnations]) if (!worker.isTerminated) worker.onCrash()
    await fleet.clock.advance(5_000)
  }
  await fleet.clock.advance(60_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.violations()).toEqual([])
})

test.each([
  [3_100, 4], [3_770, 4], [3_780, 4], [3_790, 4], [3_800, 4], [3_900, 4], [150, 9], [1_050, 9], [3_750, 9]
])('the count of crashes survives an owner that is killed %i ms after each crash of a worker that is back after %i s', async (delay, downtime) => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two'])
  fleet.emulator.faults.crashDowntimeMilliseconds = downtime * 1_000
  fleet.outcomesByTask.set('dead.0.0.0', CRASH)
  await fleet.submit('one', 'dead', [{}, { after: [0] }])
  for (let crash = 1; crash <= 12; crash++) {
    for (let elapsed = 0; elapsed < 30_000 && mostStarts(fleet, 'dead', 1) < crash; elapsed += 50) await fleet.clock.advance(50)
    if (mostStarts(fleet, 'dead', 1) < crash) break
    await fleet.clock.advance(delay)
    fleet.kill(fleet.owner())
    fleet.start(`next-${crash}`)
    await fleet.clock.advance(1_000)
  }
  await fleet.clock.advance(30_000)
  expect(mostStarts(fleet, 'dead', 1)).toBeLessThanOrEqual(MAXIMUM_STARTS)
})

test('a lasting task that has run for long each time is not failed by workers that crash shortly after changes of owner', async () => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two', 'three'], 1, false)
  fleet.emulator.faults.crashDowntimeMilliseconds = 500
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  for (let crash = 0; crash < 6; crash++) {
    await fleet.clock.advance(5_000)
    fleet.kill(fleet.owner())
    fleet.start(`next-${crash}`)
    await fleet.clock.advance(8_000)
    const worker = fleet.emulator.workerIncarnations.find(({ isTerminated, running }) => !isTerminated && running.includes('aaaa.0.0.0'))
    worker?.onCrash()
    await fleet.clock.advance(2_000)
  }
  await fleet.clock.advance(8_000)
  expect(await fleet.state(fleet.nonOwner(), 'aaaa')).toEqual({ kind: 'state', state: 'running' })
  expect(fleet.violations()).toEqual([])
})

test.each([300, 3_000])('a lasting task that crashes its worker 2 s after each start is given up although the owner is killed %i ms after each start', async delay => {
  const fleet = await EmulatedFleet.create(4, ['one', 'two', 'three'])
  fleet.outcomesByTask.set('dead.0.0.0', { milliseconds: 2_000, result: 'crash' })
  await fleet.submit('one', 'dead', [{ isLasting: true }])
  for (let crash = 1; crash <= 8; crash++) {
    for (let elapsed = 0; elapsed < 30_000 && mostStarts(fleet, 'dead', 1) < crash; elapsed += 50) await fleet.clock.advance(50)
    if (mostStarts(fleet, 'dead', 1) < crash) break
    await fleet.clock.advance(delay)
    fleet.kill(fleet.owner())
    fleet.start(`next-${crash}`)
    await fleet.clock.advance(1_000)
  }
  await fleet.clock.advance(30_000)
  expect(mostStarts(fleet, 'dead', 1)).toBeLessThanOrEqual(MAXIMUM_STARTS)
  expect(await fleet.state(fleet.nonOwner(), 'dead')).toEqual({ kind: 'state', state: 'failed' })
})

test('a lasting run whose placement takes seconds to write is placed anew, since later owners take its age from there', async () => {
  const fleet = await EmulatedFleet.create(3, ['one', 'two'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: Infinity, result: 'done' })
  const log = fleet.nodes.get(fleet.owner())?.log
  if (!log) throw new Error('no owner')
  // The store is away from the moment of the placement.
  const emit = log.emit.bind(log)
  log.emit = (event, fields) => {
    emit(event, fields)
    if (event === 'runs placed' && log.fieldsOf(event).length === 1) fleet.emulator.faults.refusalStatus = 503
  }
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  await fleet.clock.advance(1_000)
  expect(log.fieldsOf('runs placed')).toHaveLength(1)
  expect(fleet.starts('aaaa.0.0.0')).toEqual([])
  await fleet.clock.advance(4_000)
  fleet.emulator.faults.refusalStatus = 0
  await fleet.clock.advance(3_000)
  expect(fleet.starts('aaaa.0.0.0').map(({ run }) => run)).toEqual([2])
  expect(await fleet.state(fleet.nonOwner(), 'aaaa')).toEqual({ kind: 'state', state: 'running' })
})
