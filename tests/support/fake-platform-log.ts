/**
 * An in-memory log with the faults of the platform's log.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import { PlatformError } from '../../src/state/platform-error.js'
import { PlatformLog } from '../../src/state/platform-log.js'
import type { LogPage } from '../../src/schemas/log-page.js'
import type { LogRecord } from '../../src/schemas/log-record.js'
import type { Clock } from '../../src/supervision/clock.js'
import { Notifier } from '../../src/supervision/notifier.js'

/** Appends and reads without delay, unless a fault is set. */
export class FakePlatformLog extends PlatformLog {
  records: { offset: number, record: unknown }[] = []
  /** Whether all calls fail without effect. */
  isDown = false
  /** Number of appends, from the next one on, that take effect without a response. */
  lostResponses = 0
  /** Number of appends, from the next one on, that are lost and get no response. */
  lostAppends = 0
  /** Number of appends that took effect. */
  appends = 0
  /** Latency of an append, in milliseconds. */
  latencyMilliseconds = 0
  private _nextOffset = 1
  private readonly _appendNotifier = new Notifier()

  constructor (private readonly _clock: Clock) {
    super()
  }

  get nextOffset (): number {
    return this._nextOffset
  }

  override async append (records: readonly LogRecord[]): Promise<Either<PlatformError, void>> {
    if (this.latencyMilliseconds > 0) await this._clock.sleepUntil(this._clock.now() + this.latencyMilliseconds)
    if (this.isDown) return Left(new PlatformError('unreachable', 'log is down'))
    if (this.lostAppends > 0) {
      this.lostAppends -= 1
      return Left(new PlatformError('unknown', 'append lost'))
    }
    this.appends += 1
    this.write(records)
    if (this.lostResponses === 0) return Right(undefined)
    this.lostResponses -= 1
    return Left(new PlatformError('unknown', 'response lost'))
  }

  override async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<PlatformError, LogPage>> {
    while (!this.isDown && offset >= this._nextOffset && this._clock.now() < waitDeadline && !signal.aborted) {
      await this._appendNotifier.wait(this._clock, waitDeadline, signal)
    }
    if (this.isDown) return Left(new PlatformError('unreachable', 'log is down'))
    const earliestOffset = this.records[0]?.offset ?? this._nextOffset
    return Right({ earliestOffset, nextOffset: this._nextOffset, records: this.records.filter(entry => entry.offset >= offset).slice(0, 1_000) })
  }

  /** Appends records without faults. They need not be valid. */
  write (records: readonly unknown[]): void {
    for (const record of records) this.records.push({ offset: this._nextOffset++, record: JSON.parse(JSON.stringify(record)) })
    this._appendNotifier.notify()
  }

  /** Deletes all but the newest records. */
  retain (count: number): void {
    this.records = this.records.slice(-count)
  }

  /** Wakes waiting readers, so that they notice a changed fault. */
  wakeReaders (): void {
    this._appendNotifier.notify()
  }
}
