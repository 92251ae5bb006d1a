/**
 * Appends records to the log in groups and within a budget.
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

/** Appends a second for all processes of the system together; with what they save up it stays below 300. */
const FLEET_APPENDS_PER_SECOND = 280

/** Appends that a process may save up while it has nothing to write. */
const BURST_APPENDS = 4

/** Most records in one append. */
const MAXIMUM_BATCH_RECORDS = 256

/** Most records that wait; beyond it the least urgent purposes are shed. */
const MAXIMUM_WAITING_RECORDS = 2_048

/** How long one append may take before its answer counts as lost, in milliseconds. */
const APPEND_TIMEOUT_MILLISECONDS = 3_000

/** Longest pause after the first failed append, in milliseconds. */
const RETRY_BASE_MILLISECONDS = 100

/** Longest pause between failed appends, in milliseconds. */
const RETRY_CEILING_MILLISECONDS = 1_000

/** A record that waits to be appended. */
interface WaitingRecord {
  readonly record: LogRecord
  readonly purpose: AppendPurpose
  /** Epoch milliseconds after which it must not be appended any more. */
  readonly deadline: number
}

/**
 * Group commit: whatever gathered while one append was under way goes out with the next.
 *
 * A record whose append got no answer is appended again under the same id until its
 * deadline; the fold decides an id once, so a repeat does no harm.
 */
export class LogWriterTask extends Task {
  override readonly name = 'log-writer'
  private readonly _backoff: Backoff
  private readonly _arrived = new Notifier()
  private _waiting: WaitingRecord[] = []
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
    this._backoff = new Backoff(_clock, random, RETRY_BASE_MILLISECONDS, RETRY_CEILING_MILLISECONDS)
  }

  /**
   * Queues a record.
   *
   * @returns false if it was shed because too much waits; it was then certainly not appended.
   */
  enqueue (record: LogRecord, purpose: AppendPurpose, deadline: number): boolean {
    if (this._waiting.length >= MAXIMUM_WAITING_RECORDS && !this._shedLessUrgent(purpose)) {
      this._metrics.count('log.shed_records', 1, purpose)
      return false
    }
    this._waiting.push({ record, purpose, deadline })
    this._arrived.notify()
    return true
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this._dropSettled()
      if (this._waiting.length === 0) {
        await this._arrived.wait(this._clock, Infinity, signal)
        continue
      }
      await this._awaitToken(signal)
      if (signal.aborted) return
      await this._appendGroup(signal)
    }
  }

  private async _appendGroup (signal: AbortSignal): Promise<void> {
    const group = this._takeGroup()
    if (group.length === 0) return
    this._tokens -= 1
    this._metrics.count('log.appends', 1, group[0]?.purpose)
    const deadline = this._clock.now() + APPEND_TIMEOUT_MILLISECONDS
    const result = await this._log.append(group.map(entry => entry.record), deadline, signal)
    if (result.isRight()) {
      this._backoff.reset()
      for (const entry of group) this._metrics.count('log.appended_records', 1, entry.purpose)
      return
    }
    this._metrics.count('log.append_failures')
    this._waiting.unshift(...group)
    await this._backoff.pause(signal)
  }

  /** Takes the most urgent records, in the order of their arrival within a purpose. */
  private _takeGroup (): WaitingRecord[] {
    const rank = (entry: WaitingRecord): number => AppendPurpose.options.indexOf(entry.purpose)
    const sorted = [...this._waiting].sort((left, right) => rank(left) - rank(right))
    this._waiting = sorted.slice(MAXIMUM_BATCH_RECORDS)
    return sorted.slice(0, MAXIMUM_BATCH_RECORDS)
  }

  /** Drops what is past its deadline and what turned out to be decided although its answer was lost. */
  private _dropSettled (): void {
    const now = this._clock.now()
    this._waiting = this._waiting.filter(({ record, deadline }) =>
      deadline > now && this._keeper.decisionOf(record.id) === undefined)
  }

  /** Waits until this process may append again by its part of the fleet's budget. */
  private async _awaitToken (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const perSecond = FLEET_APPENDS_PER_SECOND / Math.max(1, this._keeper.state.members.size)
      const now = this._clock.now()
      this._tokens = Math.min(BURST_APPENDS, this._tokens + (now - this._refilledAt) / 1_000 * perSecond)
      this._refilledAt = now
      if (this._tokens >= 1) return
      const wait = Math.ceil((1 - this._tokens) / perSecond * 1_000)
      await this._clock.sleepUntil(now + wait, signal).catch(() => {})
    }
  }

  private _shedLessUrgent (purpose: AppendPurpose): boolean {
    const rank = AppendPurpose.options.indexOf(purpose)
    const index = this._waiting.findLastIndex(entry => AppendPurpose.options.indexOf(entry.purpose) > rank)
    const [shed] = index < 0 ? [] : this._waiting.splice(index, 1)
    if (shed) this._metrics.count('log.shed_records', 1, shed.purpose)
    return shed !== undefined
  }
}
