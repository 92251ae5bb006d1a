/**
 * Tails the platform's log into the state.
 */
import type { Metrics } from '../observability/metrics.js'
import type { PlatformLog } from './platform-log.js'
import type { LogPage } from '../schemas/log-page.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import { SnapshotCodec } from './snapshot-codec.js'
import { SnapshotCollector } from './snapshot-collector.js'
import type { StateKeeper } from './state-keeper.js'

/** How long one read waits for news, in milliseconds. */
const READ_WAIT_MILLISECONDS = 1_000

/** Longest pause after the first failed read, in milliseconds. */
const RETRY_BASE_MILLISECONDS = 200

/** Longest pause between failed reads, in milliseconds. */
const RETRY_CEILING_MILLISECONDS = 2_000

/** Reads page after page and folds them; where retention has cut its place away, it loads a snapshot. */
export class LogFollowerTask extends Task {
  override readonly name = 'log-follower'
  private readonly _backoff: Backoff
  private _reachesLog = false

  constructor (
    private readonly _log: PlatformLog,
    private readonly _keeper: StateKeeper,
    private readonly _clock: Clock,
    random: RandomSource,
    private readonly _metrics: Metrics
  ) {
    super()
    this._backoff = new Backoff(_clock, random, RETRY_BASE_MILLISECONDS, RETRY_CEILING_MILLISECONDS)
  }

  /** Whether the last read was answered with something that leads on from the state held. */
  get reachesLog (): boolean {
    return this._reachesLog
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAt = this._clock.now()
      const page = await this._log.read(this._keeper.state.offset + 1, startedAt + READ_WAIT_MILLISECONDS, signal)
      if (signal.aborted) return
      if (page.isLeft()) {
        this._reachesLog = false
        this._metrics.count('log.read_failures')
        await this._backoff.pause(signal)
        continue
      }
      this._reachesLog = true
      await this._takePage(page.extract() as LogPage, startedAt, signal)
    }
  }

  private async _takePage (page: LogPage, startedAt: number, signal: AbortSignal): Promise<void> {
    const { offset } = this._keeper.state
    if (page.nextOffset <= offset) {
      // The log holds less than has been folded: another log, or one that lost records. Nothing is taken back.
      this._metrics.count('log.behind')
      await this._backoff.pause(signal)
      return
    }
    if (page.earliestOffset > offset + 1) {
      await this._loadSnapshot(page.earliestOffset, signal)
      return
    }
    this._backoff.reset()
    this._keeper.applyRecords(page.records)
    if (this._keeper.state.offset + 1 >= page.nextOffset) this._keeper.markFresh(startedAt)
  }

  /** Reads what the log still keeps and takes the newest snapshot whose tail is there too. */
  private async _loadSnapshot (earliestOffset: number, signal: AbortSignal): Promise<void> {
    this._metrics.count('log.cut')
    const collector = new SnapshotCollector(new SnapshotCodec(), () => this._metrics.count('state.snapshots_rejected'))
    let next = earliestOffset
    while (!signal.aborted) {
      const answer = await this._log.read(next, this._clock.now(), signal)
      const page = answer.isRight() ? answer.extract() as LogPage : null
      if (!page || page.records.length === 0) break
      collector.add(page.records)
      next = (page.records.at(-1)?.offset ?? next) + 1
    }
    const { newest } = collector
    if (newest && newest.offset + 1 >= earliestOffset && this._keeper.loadSnapshot(newest)) return
    // The log cannot help any more; peers are asked as if it were out of reach.
    this._reachesLog = false
    await this._backoff.pause(signal)
  }
}
