/**
 * Applies the journal's records to the job table.
 */
import { FeedFollowerTask } from '../feeds/feed-follower-task.js'
import type { FeedChange } from '../feeds/feed-change.js'
import type { AppendedRange } from './appended-range.js'
import type { FleetTime } from './fleet-time.js'
import type { JobTable } from './job-table.js'
import type { JournalRecord } from './journal-record.js'

/** Minimum time between two reads by the owner, in milliseconds; adds to the time until a new job starts. */
const OWNER_READ_INTERVAL_MILLISECONDS = 25

/** Minimum time between two reads by all other processes, in milliseconds; adds to the age of the states that callers see. */
const READ_INTERVAL_MILLISECONDS = 100

/** Time for which the owner relies on its own appends instead of reading the topic, in milliseconds; it renews its term three times as often. */
const OWN_APPEND_VALIDITY_MILLISECONDS = 1_000

/** Time after which the owner checks again whether it has to read, in milliseconds. */
const OWN_APPEND_POLL_MILLISECONDS = 100

/** Longest wait of one read for a record, in milliseconds, so that a dead owner is detected soon. */
const LONG_POLL_MILLISECONDS = 500

/** Follows one topic of the journal, submissions or decisions, in every process. */
export class JournalFollowerTask extends FeedFollowerTask<JournalRecord> {
  private _ownerLastContactAt = 0
  private _ownAppendAt = -Infinity
  private _isReloading = false

  /**
   * @param name name of the topic in logs and metrics.
   * @param jobTable table that the records of both topics are applied to.
   * @param _fleetTime learns the time of owners from their records.
   */
  constructor (override readonly name: 'decisions' | 'submissions', readonly jobTable: JobTable, private readonly _fleetTime: FleetTime, ...rest: ConstructorParameters<typeof FeedFollowerTask<JournalRecord>>) {
    super(...rest)
  }

  /** Epoch milliseconds at which an owner's record was last applied; it was written before that. */
  get ownerLastContactAt (): number {
    return this._ownerLastContactAt
  }

  /**
   * Counts records that this process has appended as its owner, and applied, as read: the store has refused those of all others since.
   *
   * @param sentAt epoch milliseconds at which the append was sent.
   */
  recordOwnAppend ({ first, next }: AppendedRange, sentAt: number): void {
    this._ownerLastContactAt = this.clock.now()
    // Records before the first one may have to be read still.
    if (first > this.nextOffset) return
    this._ownAppendAt = sentAt
    this.advance(next, sentAt)
  }

  protected override reload (changes: ReadonlyArray<FeedChange<JournalRecord>>): void {
    // Outcomes are applied first, because a late copy of a finished job's submission may follow its outcome. Submissions are applied before their progress.
    const ordered = changes.toSorted((left, right) => this._replayOrder(left) - this._replayOrder(right))
    if (!this.isLoaded) this._fleetTime.resume(changes.flatMap(change => this._fleetTimeDifference(change)))
    // The newest record of a withdrawn bound is its deletion, which isn't among the records loaded.
    if (this.name === 'decisions') this.jobTable.leaseBounds.retain(new Set(changes.flatMap(({ value }) => value.kind === 'lease-bound' ? [value.worker] : [])))
    if (this.name === 'decisions') this.jobTable.longestLeases.retain(new Set(changes.flatMap(({ value }) => value.kind === 'longest-lease' ? [value.worker] : [])))
    this._isReloading = true
    for (const change of ordered) this.applyOrSkip(change)
    this._isReloading = false
    this.jobTable.waitingWork.discardLoaded()
  }

  /** Fleet time less time of day at a submission; empty for other records. */
  private _fleetTimeDifference ({ value }: FeedChange<JournalRecord>): number[] {
    if (value.kind !== 'submission' || value.submission.submittedAtTimeOfDay === undefined) return []
    return [value.submission.submittedAt - value.submission.submittedAtTimeOfDay]
  }

  private _replayOrder ({ value }: FeedChange<JournalRecord>): number {
    return value.kind === 'outcome' ? 0 : value.kind === 'submission' ? 1 : 2
  }

  protected override apply ({ value, offset }: FeedChange<JournalRecord>): void {
    const { ownerRecordCount } = this.jobTable
    // A record that is loaded may be old.
    if (value.kind === 'term' && !this._isReloading) this._fleetTime.observe(value.at, value.holder)
    this._fleetTime.compareWithTimeOfDay()
    if (!this.jobTable.apply(value, offset)) this.recordSkipped(offset, 'a decision doesn\'t fit its job')
    if (this.jobTable.ownerRecordCount !== ownerRecordCount) this._ownerLastContactAt = this.clock.now()
  }

  /** While this process owns the journal, its own appends keep the view current. */
  protected override async untilReadNeeded (signal: AbortSignal): Promise<void> {
    while (this.jobTable.observer && this.clock.now() < this._ownAppendAt + OWN_APPEND_VALIDITY_MILLISECONDS && !signal.aborted) {
      await this.clock.sleepUntil(this.clock.now() + OWN_APPEND_POLL_MILLISECONDS, signal).catch(() => {})
    }
  }

  protected override longPollMilliseconds (): number {
    return LONG_POLL_MILLISECONDS
  }

  protected override minimumReadIntervalMilliseconds (): number {
    return this.jobTable.observer ? OWNER_READ_INTERVAL_MILLISECONDS : READ_INTERVAL_MILLISECONDS
  }
}
