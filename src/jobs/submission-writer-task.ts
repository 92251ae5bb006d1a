/**
 * Writes submissions and cancellations of this process to the journal.
 */
import type { Metrics } from '../observability/metrics.js'
import type { FeedError } from '../feeds/feed-error.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { JobJournal } from './job-journal.js'
import type { JournalRecord } from './journal-record.js'

/** Most records of one append. */
const MAXIMUM_BATCH_RECORDS = 64

/** Records that may wait; more are refused at once. Bounds memory while the store is slow. */
const MAXIMUM_PENDING_RECORDS = 512

/** Limit on one attempt, in milliseconds. */
const ATTEMPT_TIMEOUT_MILLISECONDS = 1_500

/** Longest pauses between attempts, in milliseconds. */
const BACKOFF_MILLISECONDS = [50, 400] as const

/** How a write ended. */
type WriteResult = 'written' | 'not-written' | 'unknown'

/** A record that waits. */
interface PendingWrite {
  readonly record: JournalRecord
  /** Epoch milliseconds after which nobody waits for the outcome any more. */
  readonly deadline: number
  readonly resolve: (result: WriteResult) => void
  /** Whether an earlier attempt may have been carried out. */
  isUnconfirmed: boolean
}

/**
 * Groups what waits into one append at a time. The same record may be written twice: the book
 * takes a job's first submission only, so that repeating is safe without a sequence.
 */
export class SubmissionWriterTask extends Task {
  override readonly name = 'submission-writer'
  private readonly _wake = new Notifier()
  private readonly _backoff: Backoff
  private _pending: PendingWrite[] = []

  constructor (private readonly _journal: JobJournal, private readonly _clock: Clock, random: RandomSource, private readonly _metrics: Metrics) {
    super()
    this._backoff = new Backoff(_clock, random, ...BACKOFF_MILLISECONDS)
  }

  /**
   * Writes one record.
   *
   * @param deadline epoch milliseconds after which the outcome is `unknown`, or `not-written` if nothing was sent.
   */
  write (record: JournalRecord, deadline: number): Promise<WriteResult> {
    if (this._pending.length >= MAXIMUM_PENDING_RECORDS) return Promise.resolve('not-written')
    return new Promise(resolve => {
      this._pending.push({ record, deadline, resolve, isUnconfirmed: false })
      this._wake.notify()
    })
  }

  /** Appends what waits, until `signal` is aborted and nothing waits any more. */
  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted || this._pending.length > 0) {
      this._expire()
      const batch = this._pending.slice(0, MAXIMUM_BATCH_RECORDS)
      if (batch.length === 0) {
        await this._wake.wait(this._clock, Infinity, signal)
        continue
      }
      const result = await this._journal.append(batch.map(({ record }) => record), null, this._clock.now() + ATTEMPT_TIMEOUT_MILLISECONDS, new AbortController().signal)
      if (result.isRight()) this._completeBatch(batch)
      else await this._handleFailure(batch, result.extract() as FeedError, signal)
    }
  }

  private _completeBatch (batch: readonly PendingWrite[]): void {
    this._backoff.reset()
    this._pending = this._pending.slice(batch.length)
    for (const { resolve } of batch) resolve('written')
  }

  private async _handleFailure (batch: readonly PendingWrite[], error: FeedError, signal: AbortSignal): Promise<void> {
    this._metrics.count('journal.append_failures', 1, error.kind)
    if (error.kind !== 'refused') for (const write of batch) write.isUnconfirmed = true
    // What surely wasn't written is refused at once, so that the caller can come back.
    const refused = batch.filter(({ isUnconfirmed: isUncertain }) => !isUncertain)
    this._pending = this._pending.filter(waiting => !refused.includes(waiting))
    for (const { resolve } of refused) resolve('not-written')
    await this._backoff.pause(signal)
  }

  private _expire (): void {
    const now = this._clock.now()
    const expired = this._pending.filter(({ deadline }) => deadline <= now)
    if (expired.length === 0) return
    this._pending = this._pending.filter(({ deadline }) => deadline > now)
    for (const { resolve, isUnconfirmed: isUncertain } of expired) resolve(isUncertain ? 'unknown' : 'not-written')
  }
}
