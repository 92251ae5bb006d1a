/**
 * Follows a feed for as long as the process lives.
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

/** Longest wait of one read for a record, in milliseconds; bounds how old a quiet feed's freshness gets. */
const READ_WAIT_MILLISECONDS = 1_000

/** Longest wait of a read that follows a change, in milliseconds. */
const SETTLE_MILLISECONDS = 150

/** Longest first pause after a failed read, in milliseconds. */
const BACKOFF_BASE_MILLISECONDS = 100

/** Longest pause after failed reads, in milliseconds; bounds how late a returned store is noticed. */
const BACKOFF_CEILING_MILLISECONDS = 600

/** Reads the newest records, then every change after them; starts again when records it needs are gone. */
export abstract class FeedFollowerTask<T> extends Task {
  /** Wakes whoever waits for changes or for freshness. */
  readonly changed = new Notifier()
  private readonly _backoff: Backoff
  private _next = 0
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

  /** Moment (epoch milliseconds) as of which everything written had been taken in; 0 before the first read. */
  get freshAt (): number {
    return this._freshAt
  }

  /** Offset after the last record taken in. */
  get next (): number {
    return this._next
  }

  /** Whether the newest records have been read once. */
  get isLoaded (): boolean {
    return this._isLoaded
  }

  /** Reads on, one read after another, until `signal` is aborted. */
  override async run (signal: AbortSignal): Promise<void> {
    let isFollowing = false
    let isSettled: boolean = false
    while (!signal.aborted) {
      const askedAt = this.clock.now()
      // After a change the view is only as new as the read that brought it; a short read makes it new again.
      const wait: number = isSettled ? this.waitMilliseconds() : SETTLE_MILLISECONDS
      const page = isFollowing
        ? await this._feed.read(this._next, askedAt + wait, signal)
        : await this._feed.newest(signal)
      if (signal.aborted) return
      if (page.isLeft()) {
        const error = page.extract() as Error & { kind: string }
        if (error.kind === 'cut') isFollowing = false
        this._noteReach(false, error.message)
        await this._backoff.pause(signal)
        continue
      }
      const { changes, next, end } = page.unsafeCoerce()
      const isQuiet = isFollowing && next === this._next
      this._backoff.reset()
      this._noteReach(true, '')
      if (isFollowing) for (const change of changes) this.apply(change)
      else this.reload(changes)
      if (!isFollowing) this.log.emit('feed loaded', { feed: this.name, records: changes.length, offset: next })
      this._next = next
      this._isLoaded = true
      // A read that brings nothing was held until its wait was over: nothing was written until then.
      if (next >= end) this._freshAt = isQuiet ? Math.min(this.clock.now(), askedAt + wait) : askedAt
      isFollowing = true
      isSettled = isQuiet
      this.changed.notify()
      if (!isQuiet) await this.clock.sleepUntil(askedAt + this.minimumReadIntervalMilliseconds(), signal).catch(() => {})
    }
  }

  /** Replaces everything known. */
  protected abstract reload (changes: ReadonlyArray<FeedChange<T>>): void

  /** Takes one change in. */
  protected abstract apply (change: FeedChange<T>): void

  /** Longest wait of one read for a record, in milliseconds. */
  protected waitMilliseconds (): number {
    return READ_WAIT_MILLISECONDS
  }

  /** Least time between the starts of two reads that bring something, in milliseconds: reads are priced. */
  protected abstract minimumReadIntervalMilliseconds (): number

  private _noteReach (isReachable: boolean, cause: string): void {
    if (this._isReachable === isReachable) return
    this._isReachable = isReachable
    this.metrics.count(isReachable ? 'feeds.regained' : 'feeds.lost', 1, this.name)
    this.log.emit(isReachable ? 'dependency regained' : 'dependency lost', { dependency: this.name, cause, freshAt: this._freshAt })
  }
}
