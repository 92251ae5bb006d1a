/**
 * Tests of how long lasting tasks wait for a start while there is room for them and their owner goes on.
 */
import { expect, test } from 'vitest'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

/** Time without a run after which a task may count as lost, in milliseconds. */
const LOST_AFTER_MILLISECONDS = 6_000

/** Makes the runs of tasks of a job's first step last until they are stopped. */
function letLast (fleet: EmulatedFleet, job: string, tasks: number): void {
  for (let index = 0; index < tasks; index++) fleet.outcomesByTask.set(`${job}.0.0.${index}`, { milliseconds: Infinity, result: 'done' })
}

/** The worker incarnations that run tasks of a job. */
function workersOf (fleet: EmulatedFleet, job: string): EmulatedWorker[] {
  return fleet.emulator.workerIncarnations.filter(({ running, isTerminated }) => !isTerminated && running.some(task => task.startsWith(`${job}.`)))
}

/** Crashes the worker of a job's tasks, soon after their start and again, and brings it back under its ID. */
async function crashTwice (fleet: EmulatedFleet, job: string): Promise<void> {
  await fleet.clock.advance(100)
  for (const pause of [6_000, 0]) {
    const [worker] = workersOf(fleet, job)
    if (!worker) throw new Error('nothing is running')
    fleet.emulator.crash(worker)
    await fleet.clock.advance(1_000)
    fleet.emulator.restart(worker)
    await fleet.clock.advance(pause)
  }
}

/** Advances time, and returns the longest time for which any task of a job's first step was without a run, in milliseconds. Fails if a task has two runs at once. */
async function longestWait (fleet: EmulatedFleet, job: string, tasks: number, milliseconds: number): Promise<number> {
  const waits = Array<number>(tasks).fill(0)
  const lastSeenAt = Array<number>(tasks).fill(fleet.clock.now())
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
    await fleet.clock.advance(50)
    const running = new Set(fleet.emulator.workerIncarnations.filter(({ isTerminated }) => !isTerminated).flatMap(worker => worker.running))
    for (let index = 0; index < tasks; index++) {
      waits[index] = Math.max(waits[index] ?? 0, fleet.clock.now() - (lastSeenAt[index] ?? 0))
      if (running.has(`${job}.0.0.${index}`)) lastSeenAt[index] = fleet.clock.now()
    }
  }
  expect(fleet.violations()).toEqual([])
  return Math.max(...waits)
}

// Guards against choosing the same worker again and again: it reports, but no start there is answered.
test('a lasting task starts on another worker when the first one reports but does not answer starts', async () => {
  const fleet = await EmulatedFleet.create(3, ['one'], 1, false)
  const [first] = fleet.emulator.workerIncarnations
  fleet.emulator.faults.lateStartAddresses.add(first?.address ?? '')
  letLast(fleet, 'aaaa', 2)
  await fleet.submit('one', 'aaaa', [{ count: 2, isLasting: true }])
  expect(await longestWait(fleet, 'aaaa', 2, 20_000)).toBeLessThan(LOST_AFTER_MILLISECONDS)
  expect(first?.starts).toEqual([])
})

// Guards against trials one after the other, each of which keeps the other tasks waiting.
test.each([1, 2, 3])('lasting tasks that were lost twice with their worker do not wait for trials of each other, with %i workers', async workers => {
  const fleet = await EmulatedFleet.create(workers, ['one'], 1, false)
  letLast(fleet, 'aaaa', 8)
  await fleet.submit('one', 'aaaa', [{ count: 8, isLasting: true }])
  await crashTwice(fleet, 'aaaa')
  expect(await longestWait(fleet, 'aaaa', 8, 40_000)).toBeLessThan(LOST_AFTER_MILLISECONDS)
})

// Guards against a worker that is withheld from a lasting task by one trial after the other.
test.each(['before', 'with', 'after the crashes of'] as const)('a lasting task that starts %s others does not wait for their trials on the only worker', async when => {
  const fleet = await EmulatedFleet.create(1, ['one'], 1, false)
  letLast(fleet, 'aaaa', 1)
  letLast(fleet, 'bbbb', 8)
  if (when === 'before') await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  await fleet.clock.advance(2_000)
  if (when === 'with') await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  await fleet.submit('one', 'bbbb', [{ count: 8 }])
  await crashTwice(fleet, 'bbbb')
  if (when === 'after the crashes of') {
    await fleet.clock.advance(500)
    await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  }
  expect(await longestWait(fleet, 'aaaa', 1, 40_000)).toBeLessThan(LOST_AFTER_MILLISECONDS)
})

// Guards against a cooldown that keeps a lasting task off the only worker, and that each failure of a run which began before it makes longer.
test('a lasting task does not wait for a worker on which runs of other jobs fail one after the other', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'], 1, false)
  letLast(fleet, 'aaaa', 1)
  for (let job = 1; job <= 8; job++) {
    fleet.outcomesByTask.set(`fail${job}.0.0.0`, { milliseconds: job * 1_000, result: 'failed' })
    await fleet.submit('one', `fail${job}`, [{}])
  }
  await fleet.clock.advance(3_100)
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  expect(await longestWait(fleet, 'aaaa', 1, 20_000)).toBeLessThan(3_000)
})

// Guards against a worker that gets a failing task again without any pause.
test('a lasting task that always fails on the only worker is started again at a bounded rate', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'], 1, false)
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 50, result: 'failed' })
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  await fleet.clock.advance(20_000)
  const starts = fleet.starts('aaaa.0.0.0').map(({ at }) => at)
  expect(starts.length).toBeLessThan(15)
  expect(Math.max(...starts.slice(1).map((at, index) => at - (starts[index] ?? 0)))).toBeLessThan(LOST_AFTER_MILLISECONDS)
})

// Guards against a lasting task that is passed over because another one, which has to wait longer, found no worker in the same round.
test('a lasting task does not wait for others that fail again and again on the only worker', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'], 1, false)
  letLast(fleet, 'aaaa', 1)
  for (let job = 1; job <= 6; job++) {
    fleet.outcomesByTask.set(`fail${job}.0.0.0`, { milliseconds: job * 370, result: 'failed' })
    await fleet.submit('one', `fail${job}`, [{ isLasting: true }])
  }
  await fleet.clock.advance(10_000)
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  expect(await longestWait(fleet, 'aaaa', 1, 20_000)).toBeLessThan(3_000)
})

// Guards against calls to the advice service that are made in the order in which they were asked for.
test('a lasting task does not wait for the advice that other jobs have asked for', async () => {
  const fleet = await EmulatedFleet.create(4, ['one'], 1, false)
  fleet.configure({ advice: true, hasStandby: false })
  await fleet.clock.advance(1_000)
  fleet.emulator.faults.adviceMilliseconds = 500
  letLast(fleet, 'aaaa', 1)
  for (let job = 0; job < 30; job++) await fleet.submit('one', `job${job}`, [{}])
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  expect(await longestWait(fleet, 'aaaa', 1, 30_000)).toBeLessThan(3_000)
})

// Guards against a worker that stays cordoned although its VM isn't taken down.
test('a lasting task does not wait for a worker whose maintenance the platform has refused', async () => {
  const fleet = await EmulatedFleet.create(1, ['one'], 1, false)
  letLast(fleet, 'aaaa', 1)
  fleet.emulator.virtualMachines.unknownWaves.add(1)
  fleet.emulator.publish('wave/1', { wave: 1, machines: ['m-0'], duration_s: 60, max_count: 1 })
  await fleet.clock.advance(2_000)
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  expect(await longestWait(fleet, 'aaaa', 1, 20_000)).toBeLessThan(LOST_AFTER_MILLISECONDS)
})

// Guards against workers that stay cordoned for a move that the platform does not carry out.
test('lasting tasks do not wait for workers that the platform refuses to move away', async () => {
  const fleet = new EmulatedFleet(1)
  for (let count = 0; count < 5; count++) fleet.emulator.addVirtualMachine('work', 'a')
  fleet.configure()
  fleet.emulator.virtualMachines.refusesOrders = true
  fleet.start('one')
  await fleet.clock.advance(4_000)
  letLast(fleet, 'aaaa', 4)
  await fleet.submit('one', 'aaaa', [{ count: 4, isLasting: true, maximumPerWorker: 1 }])
  expect(await longestWait(fleet, 'aaaa', 4, 20_000)).toBeLessThan(LOST_AFTER_MILLISECONDS)
})

// Guards against a task that is kept by a worker which reports, and so extends its lease, but answers neither the start nor the stop that follows.
test.each([3_000, 11_000])('lasting tasks start elsewhere when a worker reports but answers neither starts, carried out after %i ms, nor stops', async late => {
  const fleet = await EmulatedFleet.create(3, ['one'], 1, false)
  const { faults, workerIncarnations: [first] } = fleet.emulator
  faults.lateStartAddresses.add(first?.address ?? '')
  faults.lostStopAddresses.add(first?.address ?? '')
  faults.lateStartMilliseconds = late
  letLast(fleet, 'aaaa', 2)
  await fleet.submit('one', 'aaaa', [{ count: 2, isLasting: true }])
  expect(await longestWait(fleet, 'aaaa', 2, 20_000)).toBeLessThan(LOST_AFTER_MILLISECONDS + 1_000)
  faults.lateStartAddresses.clear()
  faults.lostStopAddresses.clear()
  expect(await longestWait(fleet, 'aaaa', 2, 10_000)).toBeLessThan(LOST_AFTER_MILLISECONDS)
})

// Guards against a task that is kept by a worker whose reports never prove anything, because a row in them can't be decoded.
test('a lasting task whose start got no response starts elsewhere when the worker lists a row of an unknown form', async () => {
  const fleet = await EmulatedFleet.create(2, ['one'], 1, false)
  const [first] = fleet.emulator.workerIncarnations
  if (first) first.oddRows = { running: [null], ended: [] }
  await fleet.clock.advance(3_000)
  fleet.emulator.faults.lateStarts = 1
  letLast(fleet, 'aaaa', 1)
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  expect(await longestWait(fleet, 'aaaa', 1, 20_000)).toBeLessThan(LOST_AFTER_MILLISECONDS + 1_000)
})

// Guards against a task that is kept, along with a worker's other runs, by a lease that is extended for their sake.
test('a lasting task starts elsewhere when a worker with other runs reports but answers neither its start nor the stop', async () => {
  const fleet = await EmulatedFleet.create(3, ['one'], 1, false)
  const { faults, workerIncarnations: [first] } = fleet.emulator
  letLast(fleet, 'bbbb', 1)
  await fleet.submit('one', 'bbbb', [{}])
  await fleet.clock.advance(1_000)
  faults.lateStartAddresses.add(first?.address ?? '')
  faults.lostStopAddresses.add(first?.address ?? '')
  faults.lateStartMilliseconds = 11_000
  letLast(fleet, 'aaaa', 1)
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  expect(await longestWait(fleet, 'aaaa', 1, 20_000)).toBeLessThan(LOST_AFTER_MILLISECONDS + 1_000)
})

// Guards against workers that stay cordoned for a maintenance that the platform does not carry out.
test('a lasting task does not wait for a worker whose maintenance the platform refuses for now', async () => {
  const fleet = await EmulatedFleet.create(2, ['one'], 1, false)
  fleet.emulator.virtualMachines.refusesOrders = true
  fleet.emulator.publish('wave/1', { wave: 1, machines: ['m-0', 'm-1'], duration_s: 60, max_count: 2 })
  await fleet.clock.advance(2_000)
  letLast(fleet, 'aaaa', 1)
  await fleet.submit('one', 'aaaa', [{ isLasting: true }])
  expect(await longestWait(fleet, 'aaaa', 1, 20_000)).toBeLessThan(LOST_AFTER_MILLISECONDS)
})
