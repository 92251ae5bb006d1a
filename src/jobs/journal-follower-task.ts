/**
 * Brings the job book up to date with the journal.
 */
import { FeedFollowerTask } from '../feeds/feed-follower-task.js'
import type { FeedChange } from '../feeds/feed-change.js'
import type { JobBook } from './job-book.js'
import type { JournalRecord } from './journal-record.js'

/** Reads of the owner are at least so far apart, in milliseconds; adds to the start of each new job. */
const OWNER_READ_INTERVAL_MILLISECONDS = 25

/** Reads of all others, in milliseconds; adds to the age of the states that callers see. */
const READ_INTERVAL_MILLISECONDS = 100

/** Longest wait of one read, in milliseconds: the owner's silence has to be noticed soon. */
const LONG_POLL_MILLISECONDS = 500

/** Follows one topic of the journal, submissions or decisions, in every process. */
export class JournalFollowerTask extends FeedFollowerTask<JournalRecord> {
  private _ownerLastContactAt = 0

  /**
   * @param name of the topic, for logs.
   * @param book that both topics are folded into.
   */
  constructor (override readonly name: 'decisions' | 'submissions', readonly book: JobBook, ...rest: ConstructorParameters<typeof FeedFollowerTask<JournalRecord>>) {
    super(...rest)
  }

  /** Epoch milliseconds at which a record of an owner was last taken in: it was written before. */
  get ownerLastContactAt (): number {
    return this._ownerLastContactAt
  }

  protected override reload (changes: ReadonlyArray<FeedChange<JournalRecord>>): void {
    // Progress is kept apart from its submission, so submissions go before it; and an outcome outlives late copies of its submission.
    const ranked = changes.toSorted((left, right) => this._replayOrder(left) - this._replayOrder(right))
    for (const change of ranked) this.apply(change)
  }

  private _replayOrder ({ value }: FeedChange<JournalRecord>): number {
    return value.kind === 'outcome' ? 0 : value.kind === 'submission' ? 1 : 2
  }

  protected override apply ({ value, offset }: FeedChange<JournalRecord>): void {
    const { ownerRecordCount: ownerRecords } = this.book
    this.book.apply(value, offset)
    if (this.book.ownerRecordCount !== ownerRecords) this._ownerLastContactAt = this.clock.now()
  }

  protected override longPollMilliseconds (): number {
    return LONG_POLL_MILLISECONDS
  }

  protected override spacingMilliseconds (): number {
    return this.book.observer ? OWNER_READ_INTERVAL_MILLISECONDS : READ_INTERVAL_MILLISECONDS
  }
}
