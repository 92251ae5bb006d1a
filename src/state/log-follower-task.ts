/**
 * Task that follows the platform's log and applies its records to the state.
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

/** Longest time that one read waits for new records. */
const READ_WAIT_MILLISECONDS = 1_000

/** Longest delay after the first failed read. */
const RETRY_BASE_DELAY_MILLISECONDS = 200

/** Longest delay between failed reads. */
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 2_000

/** Reads the log page by page and applies the records. If retention has removed the next record, it loads a snapshot from the log. */
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
    this._backoff = new Backoff(_clock, random, RETRY_BASE_DELAY_MILLISECONDS, MAXIMUM_RETRY_DELAY_MILLISECONDS)
  }

  /** Whether the last read succeeded and the state can be brought up to date from the log. */
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
      await this._applyPage(page.extract() as LogPage, startedAt, signal)
    }
  }

  private async _applyPage (page: LogPage, startedAt: number, signal: AbortSignal): Promise<void> {
    const { offset } = this._keeper.state
    if (page.nextOffset <= offset) {
      // The log ends before the last applied record: it is another log, or it has lost records. The state is never rolled back.
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

  /** Reads all retained records and loads the newest complete snapshot whose subsequent records are retained too. */
  private async _loadSnapshot (earliestOffset: number, signal: AbortSignal): Promise<void> {
    this._metrics.count('log.cut')
    const collector = new SnapshotCollector(new SnapshotCodec(), () => this._metrics.count('state.snapshots_rejected'))
    let readOffset = earliestOffset
    while (!signal.aborted) {
      const result = await this._log.read(readOffset, this._clock.now(), signal)
      const page = result.isRight() ? result.extract() as LogPage : null
      if (!page || page.records.length === 0) break
      collector.add(page.records)
      readOffset = (page.records.at(-1)?.offset ?? readOffset) + 1
    }
    const { newest } = collector
    if (newest && newest.offset + 1 >= earliestOffset && this._keeper.loadSnapshot(newest)) return
    // The log can't bring the state up to date. Reporting it as unreachable makes the process fetch records from peers.
    this._reachesLog = false
    await this._backoff.pause(signal)
  }
}
