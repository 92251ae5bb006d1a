/**
 * Tests of JobTable with submissions and decisions, which are in topics without a common order.
 */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { JobTable } from '../src/jobs/job-table.js'
import type { JournalRecord } from '../src/jobs/journal-record.js'
import { FakeClock } from './support/fake-clock.js'
import { PLAIN_STEP } from './support/plain-step.js'

const submission: Extract<JournalRecord, { kind: 'submission' }> = { kind: 'submission', submission: { id: 'aaaa', queue: 'queue', team: 'team', specification: '', steps: [PLAIN_STEP], occurrences: 1, startAt: 0, intervalMilliseconds: 0, submittedAt: 0 } }
const done: JournalRecord = { kind: 'progress', job: 'aaaa', occurrence: 0, step: 0, tasks: [{ phase: 'done', run: 1, hasBegun: true, failedRuns: [], worker: '', incarnation: 0, checkpoint: '', crashes: [] }] }
const cancellationDecision: JournalRecord = { kind: 'verdict', job: 'aaaa' }
const outcome: JournalRecord = { kind: 'outcome', job: 'aaaa', queue: 'queue', state: 'completed', occurrences: 1, steps: 1 }

/** Returns the job's state after some records. Each record's position serves as its offset; the journal counts offsets per topic. */
function stateAfter (records: readonly JournalRecord[]): string | null {
  const table = new JobTable(new FakeClock())
  records.forEach((record, index) => table.apply(record, index))
  return table.state('aaaa')
}

test('decisions that are read before their submission apply once it has been read', () => {
  expect(stateAfter([done])).toBe(null)
  expect(stateAfter([done, submission])).toBe('completed')
  expect(stateAfter([cancellationDecision, submission])).toBe('cancelled')
  expect(stateAfter([done, cancellationDecision, submission])).toBe('completed')
  expect(stateAfter([outcome, submission])).toBe('completed')
})

test('a cancellation takes effect only once the owner has decided on it', () => {
  const cancellation: JournalRecord = { kind: 'cancellation', job: 'aaaa' }
  expect(stateAfter([submission, cancellation])).toBe('queued')
  expect(stateAfter([cancellation, submission, cancellationDecision])).toBe('cancelled')
  expect(stateAfter([submission, done, cancellation, cancellationDecision])).toBe('completed')
})

type Progress = Extract<JournalRecord, { kind: 'progress' }>

const ROW = { run: 1, hasBegun: true, failedRuns: [], worker: '', incarnation: 0, checkpoint: '', crashes: [] }

/** State of a job according to the newest record of each of its steps and the first cancellation. */
function naiveState (records: readonly JournalRecord[], steps: number): string {
  const newest = new Map<string, { record: Progress, offset: number }>()
  records.forEach((record, offset) => { if (record.kind === 'progress') newest.set(`${record.occurrence}.${record.step}`, { record, offset }) })
  const all = [...newest.values()]
  const isDone = all.length === steps && all.every(({ record }) => record.tasks.every(({ phase }) => phase === 'done'))
  const completedAt = isDone ? Math.max(...all.map(({ offset }) => offset)) : Infinity
  const cancelledAt = records.findIndex(({ kind }) => kind === 'verdict')
  if (cancelledAt >= 0 && cancelledAt < completedAt) return 'cancelled'
  if (all.some(({ record }) => record.tasks.some(({ phase }) => phase === 'failed'))) return 'failed'
  if (isDone) return 'completed'
  return all.some(({ record }) => record.tasks.some(({ run }) => run > 0)) ? 'running' : 'queued'
}

test('the state of a job of which only unfinished steps are kept is that of all its records, read in any order and twice', () => {
  const steps = [{ ...PLAIN_STEP, count: 1 }, { ...PLAIN_STEP, count: 2 }]
  const phases = fc.constantFrom('waiting' as const, 'placed' as const, 'done' as const, 'done' as const, 'done' as const, 'failed' as const)
  const progress = fc.record({ occurrence: fc.nat(2), step: fc.nat(1), phases: fc.tuple(phases, phases) })
  fc.assert(fc.property(fc.array(progress, { maxLength: 24 }), fc.option(fc.nat(24)), fc.array(fc.nat(24)), (changes, cancelAfter, repeated) => {
    const isFinal = new Set<string>()
    const records: JournalRecord[] = []
    for (const { occurrence, step, phases: [first, second] } of changes) {
      const key = `${occurrence}.${step}`
      if (isFinal.has(key)) continue
      const tasks = (step === 0 ? [first] : [first, second]).map(phase => ({ ...ROW, phase }))
      // Steps that are done or have failed stay so.
      if (tasks.every(({ phase }) => phase === 'done') || tasks.some(({ phase }) => phase === 'failed')) isFinal.add(key)
      records.push({ kind: 'progress', job: 'aaaa', occurrence, step, tasks })
    }
    if (cancelAfter !== null) records.splice(Math.min(cancelAfter, records.length), 0, cancellationDecision)
    const table = new JobTable(new FakeClock())
    table.apply({ ...submission, submission: { ...submission.submission, steps, occurrences: 3 } }, 0)
    records.forEach((record, offset) => {
      table.apply(record, offset)
      for (const other of repeated) if (other <= offset) table.apply(records[other] ?? record, other)
    })
    expect(table.state('aaaa')).toBe(naiveState(records, 6))
  }), { seed: 4, numRuns: 500 })
})

test.each([
  ['fewer rows than the step has tasks', { occurrence: 0, step: 0, tasks: [] }],
  ['more rows than the step has tasks', { occurrence: 0, step: 0, tasks: [{ ...ROW, phase: 'done' as const }, { ...ROW, phase: 'done' as const }] }],
  ['a step that the job does not have', { occurrence: 0, step: 1, tasks: [{ ...ROW, phase: 'failed' as const }] }],
  ['an occurrence that the job does not have', { occurrence: 1, step: 0, tasks: [{ ...ROW, phase: 'failed' as const }] }],
  ['an occurrence that is no number', { occurrence: NaN, step: 0, tasks: [{ ...ROW, phase: 'failed' as const }] }]
])('a progress record with %s is ignored', (_, record) => {
  const table = new JobTable(new FakeClock())
  const early: JournalRecord = { kind: 'progress', job: 'aaaa', ...record }
  table.apply(early, 0)
  expect(table.apply(submission, 1)).toBe(false)
  expect(table.apply(early, 2)).toBe(false)
  expect(table.state('aaaa')).toBe('queued')
  expect(table.countPending('queue')).toBe(1)
})
