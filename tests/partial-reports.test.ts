/**
 * Tests of reports that don't list all of a worker's runs.
 */
import { expect, test } from 'vitest'
import { RunListsCodec } from '../src/platform/run-lists-codec.js'
import type { EmulatedWorker } from '../stand-ins/emulator/emulated-worker.js'
import { EmulatedFleet } from './support/emulated-fleet.js'

const SMALL_DEMAND = { millicores: 20, memoryMegabytes: 40, accelerators: 0 }

/** More than twice what a worker lists in one response. */
const TASKS = 1_200

const NAMES = Array.from({ length: TASKS }, (_, index) => `aaaa.0.0.${index}`)

/** Starts a fleet in which one worker runs a job of many small tasks that are done after `milliseconds`. */
async function runManyTasks (milliseconds: number): Promise<{ fleet: EmulatedFleet, worker: EmulatedWorker }> {
  const fleet = await EmulatedFleet.create(2, ['one', 'two'])
  for (const name of NAMES) fleet.outcomesByTask.set(name, { milliseconds, result: 'done' })
  await fleet.submit('one', 'aaaa', [{ count: TASKS, demand: SMALL_DEMAND }])
  await fleet.clock.advance(2_000)
  const worker = fleet.emulator.workerIncarnations.find(({ running }) => running.length === TASKS)
  if (!worker) throw new Error('the tasks are not all running on one worker')
  // Completions are acknowledged, and the next ones listed, only when they are in the journal.
  fleet.emulator.faults.appendDelays.set('keyed.decisions', 100)
  return { fleet, worker }
}

async function expectEachTaskRanOnce (fleet: EmulatedFleet): Promise<void> {
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(NAMES.filter(name => fleet.starts(name).length !== 1)).toEqual([])
  expect(fleet.violations()).toEqual([])
}

// Guards against tasks that are done and run again, because the first responses after a cut list only a part of the completions.
test('a worker that completes more runs behind a cut than one response lists has none of them run again', { timeout: 60_000 }, async () => {
  const { fleet, worker } = await runManyTasks(4_000)
  worker.isDisconnected = true
  await fleet.clock.advance(3_400)
  worker.isDisconnected = false
  await fleet.clock.advance(10_000)
  await expectEachTaskRanOnce(fleet)
})

test('the same holds for a new owner, whose first report of the worker is a part of all', { timeout: 60_000 }, async () => {
  const { fleet, worker } = await runManyTasks(4_000)
  worker.isDisconnected = true
  const owner = fleet.owner()
  fleet.kill(owner)
  fleet.start(owner)
  await fleet.clock.advance(3_400)
  worker.isDisconnected = false
  await fleet.clock.advance(10_000)
  await expectEachTaskRanOnce(fleet)
})

test('runs that are all done at the same moment are not run again', { timeout: 60_000 }, async () => {
  const { fleet } = await runManyTasks(5_000)
  await fleet.clock.advance(10_000)
  await expectEachTaskRanOnce(fleet)
})

// Guards against a worker whose runs lapse, and are started elsewhere, because of one row that can't be decoded.
test('rows of an unknown form in a report neither make the worker unreachable nor its runs lost', { timeout: 60_000 }, async () => {
  const fleet = await EmulatedFleet.create(2, ['one', 'two'])
  fleet.outcomesByTask.set('aaaa.0.0.0', { milliseconds: 9_000, result: 'done' })
  await fleet.submit('one', 'aaaa', [{}])
  await fleet.clock.advance(1_000)
  const worker = fleet.emulator.workerIncarnations.find(({ running }) => running.length > 0)
  if (!worker) throw new Error('nothing is running')
  worker.oddRows = { running: [null, ['bbbb.0.0.0'], { task: 'cccc.0.0.0' }, ['dddd.0.0.0', '1', '', 100]], ended: [['x'], ['y', 'bbbb.0.0.0', 1, 'done', '']] }
  await fleet.clock.advance(15_000)
  expect(await fleet.state('two', 'aaaa')).toEqual({ kind: 'state', state: 'completed' })
  expect(fleet.starts('aaaa.0.0.0')).toHaveLength(1)
  expect(fleet.nodes.get(fleet.owner())?.log.fieldsOf('unreadable runs ignored')).toEqual([{ worker: worker.id, rows: 6 }])
})

test('a response is complete only if no row is missing in it', () => {
  const decode = (lists: object): unknown => RunListsCodec.decode(Buffer.from(JSON.stringify({ born: 1, clock_ms: 2, ...lists }))).extract()
  const row = (number: number): unknown[] => [number, 'aaaa.0.0.0', 1, 'done', '']
  expect(decode({ running: [['aaaa.0.0.0', 1, 'c', 40, 12]], ended: [row(1)] })).toEqual({
    incarnation: 1, clock: 2, running: [{ task: 'aaaa.0.0.0', run: 1, checkpoint: 'c', percent: 40, load: 12 }], ended: [{ sequence: 1, task: 'aaaa.0.0.0', run: 1, result: 'done', checkpoint: '' }], isComplete: true, unreadableRows: 0
  })
  expect(decode({ ended: Array.from({ length: 499 }, (_, index) => row(index + 1)) })).toMatchObject({ isComplete: true })
  expect(decode({ ended: Array.from({ length: 500 }, (_, index) => row(index + 1)) })).toMatchObject({ isComplete: false, unreadableRows: 0 })
  // Ends of an unknown kind are acknowledged, so that the worker doesn't return them for ever.
  expect(decode({ ended: [row(1), [2, 'aaaa.0.0.1', 3, 'melted', ''], [3], 'end'] })).toMatchObject({
    ended: [{ sequence: 1, result: 'done' }, { sequence: 2, task: 'aaaa.0.0.1', run: 3, result: 'stopped' }, { sequence: 3, task: '' }], isComplete: false, unreadableRows: 3
  })
  expect(decode({ clock_ms: 'noon' })).toEqual(expect.stringContaining('clock_ms'))
})
