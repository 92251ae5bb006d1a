/**
 * Writes this process's submissions, cancellations and disposals to the journal.
 */
import type { Metrics } from '../observability/metrics.js'
import type { FeedError } from '../feeds/feed-error.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import { NEVER_ABORTED } from '../supervision/never-aborted.js'
import { Notifier } from '../supervision/notifier.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { JobJournal } from './job-journal.js'
import type { JournalRecord } from './journal-record.js'

/** Maximum number of records in one append. */
const MAXIMUM_BATCH_RECORDS = 64

/** Maximum number of pending records; more are refused at once. Bounds memory while the store is slow. */
const MAXIMUM_PENDING_RECORDS = 512

/** Timeout of one append, in milliseconds. */
const APPEND_TIMEOUT_MILLISECONDS = 1_500

/** Base and ceiling of the backoff between attempts, in milliseconds. */
const BACKOFF_MILLISECONDS = [50, 400] as const

/** Outcome of a write. */
type WriteResult = 'written' | 'not-written' | 'unknown'

/** A record that waits to be written. */
interface PendingWrite {
  readonly record: JournalRecord
  /** Size of the record as stored, in bytes. */
  readonly size: number
  /** Epoch milliseconds until which the caller waits for the outcome. */
  readonly deadline: number
  readonly resolve: (result: WriteResult) => void
  /** Whether an earlier attempt may have written the record. */
  isUnconfirmed: boolean
}

/**
 * Batches pending records into one append at a time. A record may be written twice: the job table
 * applies only a job's first submission, so retries are safe without a sequence number.
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
      this._pending.push({ record, size: this._journal.sizeOf(record), deadline, resolve, isUnconfirmed: false })
      this._wake.notify()
    })
  }

  /** Appends pending records until `signal` is aborted and none is left. */
  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted || this._pending.length > 0) {
      this._expire()
      const batch = this._nextBatch()
      if (batch.length === 0) {
        await this._wake.wait(this._clock, Infinity, signal)
        continue
      }
      const result = await this._journal.append(batch.map(({ record }) => record), null, this._clock.now() + APPEND_TIMEOUT_MILLISECONDS, NEVER_ABORTED)
      if (result.isRight()) this._completeBatch(batch)
      else await this._handleFailure(batch, result.extract() as FeedError, signal)
    }
  }

  /** Returns the oldest pending records that fit into one append. */
  private _nextBatch (): PendingWrite[] {
    let size = 0
    const batch: PendingWrite[] = []
    for (const pendingWrite of this._pending) {
      size += pendingWrite.size
      if (batch.length >= MAXIMUM_BATCH_RECORDS || size > this._journal.sizeLimits.append) break
      batch.push(pendingWrite)
    }
    return batch
  }

  private _completeBatch (batch: readonly PendingWrite[]): void {
    this._backoff.reset()
    this._pending = this._pending.slice(batch.length)
    for (const { resolve } of batch) resolve('written')
  }

  private async _handleFailure (batch: readonly PendingWrite[], error: FeedError, signal: AbortSignal): Promise<void> {
    this._metrics.count('journal.append_failures', 1, error.kind)
    if (error.kind !== 'refused') for (const pendingWrite of batch) pendingWrite.isUnconfirmed = true
    // Records that certainly weren't written are refused at once, so that their callers can retry.
    const refused = batch.filter(({ isUnconfirmed }) => !isUnconfirmed)
    this._pending = this._pending.filter(pendingWrite => !refused.includes(pendingWrite))
    for (const { resolve } of refused) resolve('not-written')
    await this._backoff.pause(signal)
  }

  private _expire (): void {
    const now = this._clock.now()
    const expired = this._pending.filter(({ deadline }) => deadline <= now)
    if (expired.length === 0) return
    this._pending = this._pending.filter(({ deadline }) => deadline > now)
    for (const { resolve, isUnconfirmed } of expired) resolve(isUnconfirmed ? 'unknown' : 'not-written')
  }
}
