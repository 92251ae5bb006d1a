/**
 * Tests of DecisionWriterTask with a scripted journal.
 */
import { Left, Right } from 'purify-ts/Either'
import { expect, test } from 'vitest'
import { FeedError } from '../src/feeds/feed-error.js'
import { FleetTime } from '../src/jobs/fleet-time.js'
import { JobTable } from '../src/jobs/job-table.js'
import { JobJournal } from '../src/jobs/job-journal.js'
import type { JournalRecord } from '../src/jobs/journal-record.js'
import { DecisionLogSupervisorObserver } from '../src/observability/decision-log-supervisor-observer.js'
import { MemoryMetrics } from '../src/observability/memory-metrics.js'
import { EarlierOwners } from '../src/ownership/earlier-owners.js'
import { JournalCodec } from '../src/platform/journal-codec.js'
import { DecisionWriterTask } from '../src/scheduling/decision-writer-task.js'
import { LeaseRenewalPermit } from '../src/leases/lease-renewal-permit.js'
import { PendingDecisions } from '../src/scheduling/pending-decisions.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { Supervisor } from '../src/supervision/supervisor.js'
import { FakeClock } from './support/fake-clock.js'
import { RecordingDecisionLog } from './support/recording-decision-log.js'

/** A journal whose appends return the given results in order, and offset 0 after the last one. */
class ScriptedJournal extends JobJournal {
  readonly sequences: number[] = []
  override readonly sizeLimits = { record: Infinity, append: Infinity }

  constructor (private readonly _clock: FakeClock, private readonly _results: (FeedError | number)[]) {
    super()
  }

  override async append (_records: Parameters<JobJournal['append']>[0], fence: Parameters<JobJournal['append']>[1]): ReturnType<JobJournal['append']> {
    this.sequences.push(fence?.sequence ?? -1)
    await this._clock.sleepUntil(this._clock.now() + 10)
    const result = this._results.shift() ?? 0
    return typeof result === 'number' ? Right({ first: result, next: result + 1 }) : Left(result)
  }

  override sizeOf (): number {
    return 0
  }

  override async newest (): ReturnType<JobJournal['newest']> {
    return Left(new FeedError('refused', 'no result is scripted'))
  }

  override async read (): ReturnType<JobJournal['read']> {
    return Left(new FeedError('refused', 'no result is scripted'))
  }
}

/**
 * Starts a writer under a supervisor that restarts it. The callbacks of a test add their names to `completedCallbacks`;
 * `lossCauses` lists the causes with which the writer reported its term as lost.
 */
function startWriter (results: (FeedError | number)[]): { clock: FakeClock, journal: ScriptedJournal, writer: DecisionWriterTask, completedCallbacks: string[], lossCauses: string[] } {
  const clock = new FakeClock()
  const journal = new ScriptedJournal(clock, results)
  const metrics = new MemoryMetrics()
  const lossCauses: string[] = []
  const jobTable = new JobTable(clock)
  const fleetTime = new FleetTime(clock, 'holder')
  const holder = { name: 'holder', process: 'one' }
  const permit = new LeaseRenewalPermit(5, holder, new EarlierOwners(jobTable, jobTable.term, clock.now(), clock.now()), () => ({ find: () => null, readClocks: () => [], forgetClocks: () => {} }), fleetTime, clock, new RecordingDecisionLog())
  const writer = new DecisionWriterTask(journal, { jobTable, recordOwnAppend: () => {} }, 5, clock.now(), holder, permit, { takeChange: () => null }, fleetTime, cause => lossCauses.push(cause), clock, new SeededRandomSource(1), metrics)
  const root = new Supervisor('root', clock, new DecisionLogSupervisorObserver(new RecordingDecisionLog(), metrics))
  root.add(writer)
  root.run(new AbortController().signal).catch(() => {})
  return { clock, journal, writer, completedCallbacks: [], lossCauses }
}

test('no callback runs after a higher term has fenced an append, even after a restart of the writer', async () => {
  const { clock, writer, completedCallbacks, lossCauses } = startWriter([new FeedError('fenced', 'fenced')])
  writer.append({ kind: 'order', virtualMachine: 'm-1', term: 5, at: 0 }, () => completedCallbacks.push('order'))
  await clock.advance(5)
  writer.whenWritten(() => completedCallbacks.push('acknowledgement'))
  await clock.advance(3_000)
  expect(lossCauses).toEqual(['fenced'])
  expect(completedCallbacks).toEqual([])
})

test('an append without a response is retried with the same sequence number, and its callbacks keep waiting', async () => {
  const { clock, journal, writer, completedCallbacks } = startWriter([new FeedError('unknown', 'no response'), new FeedError('refused', 'busy'), 7])
  writer.append({ kind: 'order', virtualMachine: 'm-1', term: 5, at: 0 }, () => completedCallbacks.push('order'))
  await clock.advance(5)
  writer.whenWritten(() => completedCallbacks.push('acknowledgement'))
  expect(completedCallbacks).toEqual([])
  await clock.advance(250)
  expect(journal.sequences.slice(0, 3)).toEqual([1, 1, 1])
  expect(completedCallbacks).toEqual(['order', 'acknowledgement'])
})

// Guards against an append that the store refuses as too large, which ends each owner's term.
test('outcomes of long schedules that are due together are written in appends that the store takes', () => {
  const sizeLimits = { record: 262_144, append: 2_097_152 }
  const sizeOf = (record: JournalRecord): number => JournalCodec.encode(record).reduce((size, { key, value }) => size + key.length + value.length + 5, 0)
  const pending = new PendingDecisions({ sizeLimits, sizeOf })
  const written: string[] = []
  for (let index = 0; index < 20; index++) pending.addRecord({ kind: 'outcome', job: `job${index}`, queue: 'queue', state: 'cancelled', occurrences: 1_000, steps: 20 })
  pending.addCallback(() => written.push('callback'))
  for (let appends = 0; !pending.isEmpty; appends++) {
    const { records, callbacks, isLast } = pending.take([])
    expect(records.length).toBeGreaterThan(0)
    expect(records.reduce((size, record) => size + sizeOf(record), 0)).toBeLessThanOrEqual(sizeLimits.append)
    expect(callbacks.length).toBe(isLast ? 1 : 0)
    expect(appends).toBeLessThan(20)
  }
})
