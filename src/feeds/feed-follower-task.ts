/**
 * Follows a feed for the lifetime of the process.
 */
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { Metrics } from '../observability/metrics.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { FeedChange } from './feed-change.js'
import type { RecordFeed } from './record-feed.js'

/** Longest wait of one read for a record, in milliseconds; bounds the age of the view while a feed is quiet. */
const LONG_POLL_MILLISECONDS = 1_000

/** Longest wait of a read after one that returned changes, in milliseconds. */
const SHORT_POLL_MILLISECONDS = 150

/** Base of the backoff after failed reads, in milliseconds. */
const BACKOFF_BASE_MILLISECONDS = 100

/** Ceiling of that backoff, in milliseconds; bounds how late the end of a store outage is detected. */
const BACKOFF_CEILING_MILLISECONDS = 600

/** Loads the newest record of each key, then reads every change after that; loads again if records that it needs are no longer kept. */
export abstract class FeedFollowerTask<T> extends Task {
  /** Notified after every successful read, with or without changes. */
  readonly changed = new Notifier()
  private readonly _backoff: Backoff
  private _nextOffset = 0
  private _freshAt = 0
  private _isLoaded = false
  private _isReachable = false

  constructor (
    private readonly _feed: RecordFeed<T>,
    protected readonly clock: Clock,
    random: RandomSource,
    protected readonly metrics: Metrics,
    protected readonly log: DecisionLog
  ) {
    super()
    this._backoff = new Backoff(clock, random, BACKOFF_BASE_MILLISECONDS, BACKOFF_CEILING_MILLISECONDS)
  }

  /** Epoch milliseconds as of which everything written had been applied; 0 before the first read. */
  get freshAt (): number {
    return this._freshAt
  }

  /** Offset after the last record applied. */
  get nextOffset (): number {
    return this._nextOffset
  }

  /** Whether the newest records have been loaded once. */
  get isLoaded (): boolean {
    return this._isLoaded
  }

  /** Reads the feed, one read at a time, until `signal` is aborted. */
  override async run (signal: AbortSignal): Promise<void> {
    let isFollowing = false
    let wasQuiet: boolean = false
    while (!signal.aborted) {
      if (isFollowing) await this.untilReadNeeded(signal)
      if (signal.aborted) return
      const requestedAt = this.clock.now()
      const from = this._nextOffset
      // After a change the view is only as fresh as the start of the read that returned it; a short poll makes it fresh again.
      const wait: number = wasQuiet ? this.longPollMilliseconds() : SHORT_POLL_MILLISECONDS
      const page = isFollowing
        ? await this._feed.read(from, requestedAt + wait, signal)
        : await this._feed.newest(signal)
      if (signal.aborted) return
      if (page.isLeft()) {
        const error = page.extract() as Error & { kind: string }
        if (error.kind === 'cut') isFollowing = false
        this._recordReachability(false, error.message)
        await this._backoff.pause(signal)
        continue
      }
      const { changes, next, end } = page.unsafeCoerce()
      const isQuiet = isFollowing && next === from
      this._backoff.reset()
      this._recordReachability(true, '')
      if (isFollowing) for (const change of changes) this.applyOrSkip(change)
      else this.reload(changes)
      if (!isFollowing) this.log.emit('feed loaded', { feed: this.name, records: changes.length, offset: next })
      this._nextOffset = isFollowing ? Math.max(this._nextOffset, next) : next
      this._isLoaded = true
      // A read without changes returned only after its wait had passed, so nothing was written until then.
      if (next >= end) this._freshAt = Math.max(this._freshAt, isQuiet ? Math.min(this.clock.now(), requestedAt + wait) : requestedAt)
      isFollowing = true
      wasQuiet = isQuiet
      this.changed.notify()
      // A process that is behind reads on at once.
      if (!isQuiet && next >= end) await this.clock.sleepUntil(requestedAt + this.minimumReadIntervalMilliseconds(), signal).catch(() => {})
    }
  }

  /** Counts everything before an offset as applied, as of `freshAt` (epoch milliseconds). */
  protected advance (nextOffset: number, freshAt: number): void {
    this._nextOffset = Math.max(this._nextOffset, nextOffset)
    this._freshAt = Math.max(this._freshAt, freshAt)
    this.changed.notify()
  }

  /** Resolves when the feed has to be read; followers that learn of changes in another way override it. */
  protected async untilReadNeeded (_signal: AbortSignal): Promise<void> {}

  /**
   * Applies a change. One that can't be applied is logged and skipped: every process reads the same records, so that an error
   * which ended the task would end all processes, and again after each restart.
   */
  protected applyOrSkip (change: FeedChange<T>): void {
    try {
      this.apply(change)
    } catch (error) {
      this.recordSkipped(change.offset, (error as Error).message)
    }
  }

  /** Logs and counts a record that isn't applied. */
  protected recordSkipped (offset: number, cause: string): void {
    this.metrics.count('feeds.skipped', 1, this.name)
    this.log.emit('record skipped', { feed: this.name, offset, cause })
  }

  /** Replaces the state with the newest record of each key, through `applyOrSkip`. */
  protected abstract reload (changes: ReadonlyArray<FeedChange<T>>): void

  /** Applies one change. */
  protected abstract apply (change: FeedChange<T>): void

  /** Longest wait of one read for a record, in milliseconds. */
  protected longPollMilliseconds (): number {
    return LONG_POLL_MILLISECONDS
  }

  /** Minimum time from the start of a read that returned changes to the next read, in milliseconds: the store charges for reads. */
  protected abstract minimumReadIntervalMilliseconds (): number

  private _recordReachability (isReachable: boolean, cause: string): void {
    if (this._isReachable === isReachable) return
    this._isReachable = isReachable
    this.metrics.count(isReachable ? 'feeds.regained' : 'feeds.lost', 1, this.name)
    this.log.emit(isReachable ? 'dependency reachable again' : 'dependency unreachable', { dependency: this.name, cause, freshAt: this._freshAt })
  }
}
