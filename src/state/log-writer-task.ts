/**
 * Task that appends records to the platform's log.
 */
import type { Metrics } from '../observability/metrics.js'
import type { PlatformLog } from './platform-log.js'
import type { LogRecord } from '../schemas/log-record.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import { AppendPurpose } from './append-purpose.js'
import type { StateKeeper } from './state-keeper.js'

/** Appends per second of all processes together. With their bursts the total stays below 300 per second. */
const FLEET_APPENDS_PER_SECOND = 280

/** Appends that a process may make in a burst after an idle period; capacity of its token bucket. */
const BURST_APPENDS = 4

/** Maximum number of records in one append. */
const MAXIMUM_BATCH_RECORDS = 256

/** Maximum number of queued records; beyond this, records of lower priority are shed. */
const MAXIMUM_QUEUED_RECORDS = 2_048

/** Time after which the outcome of an append without a response counts as unknown. */
const APPEND_TIMEOUT_MILLISECONDS = 3_000

/** Longest delay after the first failed append. */
const RETRY_BASE_DELAY_MILLISECONDS = 100

/** Longest delay between failed appends. */
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 1_000

/** A record that is queued to be appended. */
interface QueuedRecord {
  readonly record: LogRecord
  readonly purpose: AppendPurpose
  /** Epoch milliseconds at which the record expires and is no longer appended. */
  readonly deadline: number
}

/**
 * Group commit: records that are queued while an append is in progress form the next batch.
 * A token bucket keeps the processes together within the log's append rate.
 *
 * A record whose append failed or got no response is appended again under the same id until its
 * deadline. This is safe, because a repeated append changes nothing.
 */
export class LogWriterTask extends Task {
  override readonly name = 'log-writer'
  private readonly _backoff: Backoff
  private readonly _recordQueued = new Notifier()
  private _queue: QueuedRecord[] = []
  private _tokens = BURST_APPENDS
  private _refilledAt: number

  constructor (
    private readonly _log: PlatformLog,
    private readonly _keeper: StateKeeper,
    private readonly _clock: Clock,
    random: RandomSource,
    private readonly _metrics: Metrics
  ) {
    super()
    this._refilledAt = _clock.now()
    this._backoff = new Backoff(_clock, random, RETRY_BASE_DELAY_MILLISECONDS, MAXIMUM_RETRY_DELAY_MILLISECONDS)
  }

  /**
   * Queues a record.
   *
   * @returns false if the queue is full of records of at least the same priority; the record
   * is then not appended.
   */
  enqueue (record: LogRecord, purpose: AppendPurpose, deadline: number): boolean {
    if (this._queue.length >= MAXIMUM_QUEUED_RECORDS && !this._shedLowerPriority(purpose)) {
      this._metrics.count('log.shed_records', 1, purpose)
      return false
    }
    this._queue.push({ record, purpose, deadline })
    this._recordQueued.notify()
    return true
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this._dropExpiredAndDecided()
      if (this._queue.length === 0) {
        await this._recordQueued.wait(this._clock, Infinity, signal)
        continue
      }
      await this._awaitToken(signal)
      if (signal.aborted) return
      await this._appendBatch(signal)
    }
  }

  private async _appendBatch (signal: AbortSignal): Promise<void> {
    const batch = this._takeBatch()
    if (batch.length === 0) return
    this._tokens -= 1
    this._metrics.count('log.appends', 1, batch[0]?.purpose)
    const deadline = this._clock.now() + APPEND_TIMEOUT_MILLISECONDS
    const result = await this._log.append(batch.map(queuedRecord => queuedRecord.record), deadline, signal)
    if (result.isRight()) {
      this._backoff.reset()
      for (const queuedRecord of batch) this._metrics.count('log.appended_records', 1, queuedRecord.purpose)
      return
    }
    this._metrics.count('log.append_failures')
    this._queue.unshift(...batch)
    await this._backoff.pause(signal)
  }

  /** Removes the records of the highest priority from the queue, in the order of their arrival within a purpose. */
  private _takeBatch (): QueuedRecord[] {
    const rank = (queuedRecord: QueuedRecord): number => AppendPurpose.options.indexOf(queuedRecord.purpose)
    const sorted = [...this._queue].sort((left, right) => rank(left) - rank(right))
    this._queue = sorted.slice(MAXIMUM_BATCH_RECORDS)
    return sorted.slice(0, MAXIMUM_BATCH_RECORDS)
  }

  /** Drops expired records, and records that were appended and decided although the append got no response. */
  private _dropExpiredAndDecided (): void {
    const now = this._clock.now()
    this._queue = this._queue.filter(({ record, deadline }) =>
      deadline > now && this._keeper.decisionOf(record.id) === undefined)
  }

  /** Waits for the token bucket to allow an append. Each process gets an equal fraction of the fleet's rate. */
  private async _awaitToken (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const perSecond = FLEET_APPENDS_PER_SECOND / Math.max(1, this._keeper.state.members.size)
      const now = this._clock.now()
      this._tokens = Math.min(BURST_APPENDS, this._tokens + (now - this._refilledAt) / 1_000 * perSecond)
      this._refilledAt = now
      if (this._tokens >= 1) return
      const milliseconds = Math.ceil((1 - this._tokens) / perSecond * 1_000)
      await this._clock.sleepUntil(now + milliseconds, signal).catch(() => {})
    }
  }

  private _shedLowerPriority (purpose: AppendPurpose): boolean {
    const rank = AppendPurpose.options.indexOf(purpose)
    const index = this._queue.findLastIndex(queuedRecord => AppendPurpose.options.indexOf(queuedRecord.purpose) > rank)
    const [shed] = index < 0 ? [] : this._queue.splice(index, 1)
    if (shed) this._metrics.count('log.shed_records', 1, shed.purpose)
    return shed !== undefined
  }
}
