/**
 * A log in memory with the platform's faults.
 */
import { Left, Right, type Either } from 'purify-ts/Either'
import { PlatformError } from '../../src/state/platform-error.js'
import { PlatformLog } from '../../src/state/platform-log.js'
import type { LogPage } from '../../src/schemas/log-page.js'
import type { LogRecord } from '../../src/schemas/log-record.js'
import type { Clock } from '../../src/supervision/clock.js'
import { Notifier } from '../../src/supervision/notifier.js'

/** Appends and reads at once, unless a fault is on. */
export class FakePlatformLog extends PlatformLog {
  records: { offset: number, record: unknown }[] = []
  /** Nothing is answered and nothing takes effect. */
  isDown = false
  /** The next so many appends take effect and their answers are lost. */
  lostResponses = 0
  /** The next so many appends are lost with their answers. */
  lostAppends = 0
  appends = 0
  /** Time that an append takes, in milliseconds. */
  latencyMilliseconds = 0
  private _nextOffset = 1
  private readonly _appended = new Notifier()

  constructor (private readonly _clock: Clock) {
    super()
  }

  get nextOffset (): number {
    return this._nextOffset
  }

  override async append (records: readonly LogRecord[]): Promise<Either<PlatformError, void>> {
    if (this.latencyMilliseconds > 0) await this._clock.sleepUntil(this._clock.now() + this.latencyMilliseconds)
    if (this.isDown) return Left(new PlatformError('unreachable', 'down'))
    if (this.lostAppends > 0) {
      this.lostAppends -= 1
      return Left(new PlatformError('unknown', 'lost'))
    }
    this.appends += 1
    this.write(records)
    if (this.lostResponses === 0) return Right(undefined)
    this.lostResponses -= 1
    return Left(new PlatformError('unknown', 'answer lost'))
  }

  override async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<PlatformError, LogPage>> {
    while (!this.isDown && offset >= this._nextOffset && this._clock.now() < waitDeadline && !signal.aborted) {
      await this._appended.wait(this._clock, waitDeadline, signal)
    }
    if (this.isDown) return Left(new PlatformError('unreachable', 'down'))
    const earliestOffset = this.records[0]?.offset ?? this._nextOffset
    return Right({ earliestOffset, nextOffset: this._nextOffset, records: this.records.filter(entry => entry.offset >= offset).slice(0, 1_000) })
  }

  /** Puts records in as they are, readable or not. */
  write (records: readonly unknown[]): void {
    for (const record of records) this.records.push({ offset: this._nextOffset++, record: JSON.parse(JSON.stringify(record)) })
    this._appended.notify()
  }

  /** Cuts all but the newest records off. */
  retain (count: number): void {
    this.records = this.records.slice(-count)
  }

  /** Wakes readers, so that they notice a fault. */
  wakeReaders (): void {
    this._appended.notify()
  }
}
