/**
 * Tests of the encoding of tasks' progress: nothing is lost, records of earlier versions are read, and the rows stay short.
 */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import type { TaskProgress } from '../src/jobs/task-progress.js'
import { JournalCodec } from '../src/platform/journal-codec.js'

const roundTrip = (tasks: TaskProgress[]): unknown => {
  const [record] = JournalCodec.encode({ kind: 'progress', job: 'a1b2c3d4e5f60718', occurrence: 0, step: 1, tasks })
  return JournalCodec.decode(record as NonNullable<typeof record>).map(decoded => decoded.kind === 'progress' ? decoded.tasks : null).extract()
}

const waiting = fc.record({ run: fc.nat(9), isRefused: fc.boolean(), failedRuns: fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 3 }), checkpoint: fc.constantFrom('', '00000bb87a21d94b') })
  .map(({ run, isRefused, ...rest }): TaskProgress => ({ phase: 'waiting', run, hasBegun: run > 0 && !isRefused, worker: '', incarnation: 0, crashes: [], ...rest }))
const copyOf = (run: number): fc.Arbitrary<TaskProgress['copy']> => fc.oneof(
  fc.constant(undefined),
  fc.constantFrom(run, run + 1).map(number => ({ run: number, worker: '', incarnation: 0 })),
  fc.record({ worker: fc.constantFrom('i-2', 'i-4'), start: fc.integer({ min: 0, max: 2 }), number: fc.option(fc.integer({ min: 1 })) }).map(({ worker, start, number }) =>
    ({ run: run + 2, worker, incarnation: 1_776_731_387_004, ...start >= 1 ? { isStarted: true } : {}, ...start === 2 ? { isReported: true } : {}, ...number === null ? {} : { placementNumber: number } })))
const placed = fc.record({ run: fc.integer({ min: 1, max: 9 }), worker: fc.constantFrom('i-1', 'i-2', 'i-3'), incarnation: fc.constantFrom(1_776_731_387_004, 1_776_731_387_005), start: fc.integer({ min: 0, max: 2 }), clock: fc.option(fc.nat()), number: fc.option(fc.integer({ min: 1 })), crashed: fc.boolean() })
  .map(({ run, worker, incarnation, start, clock, number, crashed }): TaskProgress => ({
    phase: 'placed',
    run,
    hasBegun: true,
    failedRuns: [],
    worker,
    incarnation,
    checkpoint: '',
    crashes: crashed ? [{ run: 1, role: 'suspect' }] : [],
    ...clock === null ? {} : { placedAtClock: clock },
    ...start >= 1 ? { isStarted: true } : {},
    ...start === 2 ? { isReported: true } : {},
    ...number === null ? {} : { placementNumber: number }
  }))
  .chain(progress => copyOf(progress.run).map((copy): TaskProgress => copy ? { ...progress, copy } : progress))
const ended = fc.record({ phase: fc.constantFrom('done' as const, 'failed' as const), run: fc.integer({ min: 0, max: 9 }), failedRuns: fc.array(fc.integer({ min: 1, max: 9 }), { maxLength: 2 }) })
  .map((fields): TaskProgress => ({ ...fields, hasBegun: fields.run > 0, worker: '', incarnation: 0, checkpoint: '', crashes: [] }))

test('progress is read as it was written', () => {
  fc.assert(fc.property(fc.array(fc.oneof(waiting, placed, ended), { minLength: 1, maxLength: 12 }), tasks => { expect(roundTrip(tasks)).toEqual(tasks) }), { seed: 45, numRuns: 500 })
})

test('progress that an earlier version has written is read', () => {
  const value = Buffer.from(JSON.stringify([[2, 1, [], '', 0, ''], [1, 2, [1], 'i-7', 1_776_731_387_004, 'c1', [[1, 1]], 3, 512], [1, 1, [], 'i-7', 5, '', [], 0, null, 17], [0, 3, [], '', 0, '', [], 1]]))
  expect(JournalCodec.decode({ key: 'step/a/0/0', value }).extract()).toMatchObject({
    tasks: [
      { phase: 'done', run: 1, worker: '' },
      { phase: 'placed', run: 2, failedRuns: [1], worker: 'i-7', incarnation: 1_776_731_387_004, checkpoint: 'c1', crashes: [{ run: 1, role: 'suspect' }], isStarted: true, isReported: true, placedAtClock: 512 },
      { phase: 'placed', run: 1, incarnation: 5, placementNumber: 17 },
      { phase: 'waiting', run: 3, hasBegun: false }
    ]
  })
})

test('a position beyond the list of workers makes a row without a worker instead of an error', () => {
  const value = Buffer.from(JSON.stringify({ w: [], t: [[1, 1, 9]] }))
  expect(JournalCodec.decode({ key: 'step/a/0/0', value }).extract()).toMatchObject({ tasks: [{ phase: 'placed', run: 1, worker: '' }] })
})

/** Half of a link of 7 Mbit/s, for a thousand changes a second. */
const MAXIMUM_RECORD_BYTES = 7_000_000 / 8 / 2 / 1_000

test('a step of eight started tasks is short enough for processes on small VMs to follow a thousand changes a second', () => {
  const tasks = Array.from({ length: 8 }, (_, index): TaskProgress => ({
    phase: 'placed', run: 1, hasBegun: true, failedRuns: [], worker: `i-17c2b4e1a${index % 2}`, incarnation: 1_776_731_387_004 + index % 2, checkpoint: '', crashes: [], placementNumber: 40_000 + index
  }))
  const [record] = JournalCodec.encode({ kind: 'progress', job: 'a1b2c3d4e5f60718', occurrence: 0, step: 1, tasks })
  expect(record?.value.length).toBeLessThan(MAXIMUM_RECORD_BYTES)
})

test('a crash is read with the evidence that was written, proved or not, and without any from an earlier version', () => {
  const evidence = { minimumAge: 12, maximumAge: 340, rate: 0.0123, rivals: 3 }
  const unprovenEnd = { worker: 'i-1', address: '10.0.0.1:80', incarnation: 5, forgetAt: 1_700 }
  const crashes: TaskProgress['crashes'] = [{ run: 1, role: 'suspect', evidence }, { run: 2, role: 'culprit', evidence, unprovenEnd }, { run: 3, role: 'bystander', unprovenEnd }]
  const tasks: TaskProgress[] = [{ phase: 'waiting', run: 3, hasBegun: true, failedRuns: [], worker: '', incarnation: 0, checkpoint: '', crashes }]
  expect(roundTrip(tasks)).toEqual(tasks)
  const value = Buffer.from(JSON.stringify({ w: [], t: [[0, 3, 0, 0, 0, null, '', [], [[1, 1], [3, 0, unprovenEnd]]]] }))
  expect(JournalCodec.decode({ key: 'step/a/0/0', value }).extract()).toMatchObject({ tasks: [{ crashes: [{ run: 1, role: 'suspect' }, { run: 3, role: 'bystander', unprovenEnd }] }] })
})
