/**
 * Tests of JobTable with submissions and decisions, which are in topics without a common order.
 */
import { expect, test } from 'vitest'
import { JobTable } from '../src/jobs/job-table.js'
import type { JournalRecord } from '../src/jobs/journal-record.js'
import { PLAIN_STEP } from './support/plain-step.js'

const submission: JournalRecord = { kind: 'submission', submission: { id: 'aaaa', queue: 'queue', team: 'team', specification: '', steps: [PLAIN_STEP], occurrences: 1, startAt: 0, intervalMilliseconds: 0, submittedAt: 0 } }
const done: JournalRecord = { kind: 'progress', job: 'aaaa', occurrence: 0, step: 0, tasks: [{ phase: 'done', run: 1, failedRuns: [], worker: '', incarnation: 0, checkpoint: '', crashes: [] }] }
const cancellationDecision: JournalRecord = { kind: 'verdict', job: 'aaaa' }
const outcome: JournalRecord = { kind: 'outcome', job: 'aaaa', queue: 'queue', state: 'completed', occurrences: 1, steps: 1 }

/** Returns the job's state after some records. Each record's position serves as its offset; the journal counts offsets per topic. */
function stateAfter (records: readonly JournalRecord[]): string | null {
  const table = new JobTable()
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
