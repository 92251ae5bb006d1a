/**
 * Folding submissions and decisions that come by different ways.
 */
import { expect, test } from 'vitest'
import { JobTable } from '../src/jobs/job-table.js'
import type { JournalRecord } from '../src/jobs/journal-record.js'
import { PLAIN_STEP } from './support/plain-step.js'

const submission: JournalRecord = { kind: 'submission', submission: { id: 'aaaa', queue: 'queue', team: 'team', specification: '', steps: [PLAIN_STEP], occurrences: 1, startAt: 0, intervalMilliseconds: 0, submittedAt: 0 } }
const done: JournalRecord = { kind: 'progress', job: 'aaaa', occurrence: 0, step: 0, tasks: [{ phase: 'done', run: 1, failedRuns: [], worker: '', incarnation: 0, checkpoint: '' }] }
const verdict: JournalRecord = { kind: 'verdict', job: 'aaaa' }
const outcome: JournalRecord = { kind: 'outcome', job: 'aaaa', queue: 'queue', state: 'completed', occurrences: 1, steps: 1 }

/** State after some records; offsets count within each topic. */
function stateAfter (records: readonly JournalRecord[]): string | null {
  const book = new JobTable()
  records.forEach((record, index) => book.apply(record, index))
  return book.state('aaaa')
}

test('decisions that are read before their submission count once it comes', () => {
  expect(stateAfter([done])).toBe(null)
  expect(stateAfter([done, submission])).toBe('completed')
  expect(stateAfter([verdict, submission])).toBe('cancelled')
  expect(stateAfter([done, verdict, submission])).toBe('completed')
  expect(stateAfter([outcome, submission])).toBe('completed')
})

test('a cancellation only shows once the owner has decided on it', () => {
  const cancellation: JournalRecord = { kind: 'cancellation', job: 'aaaa' }
  expect(stateAfter([submission, cancellation])).toBe('queued')
  expect(stateAfter([cancellation, submission, verdict])).toBe('cancelled')
  expect(stateAfter([submission, done, cancellation, verdict])).toBe('completed')
})
