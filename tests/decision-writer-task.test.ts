/**
 * The writer of the owner's decisions by itself.
 */
import { Left, Right } from 'purify-ts/Either'
import { expect, test } from 'vitest'
import { FeedError } from '../src/feeds/feed-error.js'
import { JobTable } from '../src/jobs/job-table.js'
import { JobJournal } from '../src/jobs/job-journal.js'
import { DecisionLogSupervisorObserver } from '../src/observability/decision-log-supervisor-observer.js'
import { MemoryMetrics } from '../src/observability/memory-metrics.js'
import { DecisionWriterTask } from '../src/scheduling/decision-writer-task.js'
import { SeededRandomSource } from '../src/supervision/seeded-random-source.js'
import { Supervisor } from '../src/supervision/supervisor.js'
import { FakeClock } from './support/fake-clock.js'
import { QuietLog } from './support/quiet-log.js'

/** A journal that answers appends as told. */
class ToldJournal extends JobJournal {
  readonly sequences: number[] = []

  constructor (private readonly _clock: FakeClock, private readonly _answers: (FeedError | number)[]) {
    super()
  }

  override async append (_records: Parameters<JobJournal['append']>[0], fence: Parameters<JobJournal['append']>[1]): ReturnType<JobJournal['append']> {
    this.sequences.push(fence?.sequence ?? -1)
    await this._clock.sleepUntil(this._clock.now() + 10)
    const answer = this._answers.shift() ?? 0
    return typeof answer === 'number' ? Right(answer) : Left(answer)
  }

  override async newest (): ReturnType<JobJournal['newest']> {
    return Left(new FeedError('refused', 'not told'))
  }

  override async read (): ReturnType<JobJournal['read']> {
    return Left(new FeedError('refused', 'not told'))
  }
}

/** A writer that its supervisor restarts, and what followed from its appends. */
function writer (answers: (FeedError | number)[]): { clock: FakeClock, journal: ToldJournal, made: DecisionWriterTask, followed: string[], lost: string[] } {
  const clock = new FakeClock()
  const journal = new ToldJournal(clock, answers)
  const metrics = new MemoryMetrics()
  const lost: string[] = []
  const made = new DecisionWriterTask(journal, new JobTable(), 5, clock.now(), 'holder', cause => lost.push(cause), clock, new SeededRandomSource(1), metrics)
  const root = new Supervisor('root', clock, new DecisionLogSupervisorObserver(new QuietLog(), metrics))
  root.add(made)
  root.run(new AbortController().signal).catch(() => {})
  return { clock, journal, made, followed: [], lost }
}

test('nothing follows from an append that a higher term has fenced, also after a restart', async () => {
  const { clock, made, followed, lost } = writer([new FeedError('fenced', 'fenced')])
  made.append({ kind: 'order', virtualMachine: 'm-1', term: 5, at: 0 }, () => followed.push('order'))
  await clock.advance(5)
  made.whenWritten(() => followed.push('acknowledgement'))
  await clock.advance(3_000)
  expect(lost).toEqual(['fenced'])
  expect(followed).toEqual([])
})

test('an append without an answer is repeated under its sequence, and what waits for it waits on', async () => {
  const { clock, journal, made, followed } = writer([new FeedError('unknown', 'no answer'), new FeedError('refused', 'busy'), 7])
  made.append({ kind: 'order', virtualMachine: 'm-1', term: 5, at: 0 }, () => followed.push('order'))
  await clock.advance(5)
  made.whenWritten(() => followed.push('acknowledgement'))
  expect(followed).toEqual([])
  await clock.advance(250)
  expect(journal.sequences.slice(0, 3)).toEqual([1, 1, 1])
  expect(followed).toEqual(['order', 'acknowledgement'])
})
