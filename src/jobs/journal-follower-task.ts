/**
 * Brings the job book up to date with the journal.
 */
import { FeedFollowerTask } from '../feeds/feed-follower-task.js'
import type { FeedChange } from '../feeds/feed-change.js'
import type { JobTable } from './job-table.js'
import type { JournalRecord } from './journal-record.js'

/** Reads of the owner are at least so far apart, in milliseconds; adds to the start of each new job. */
const OWNER_SPACING_MILLISECONDS = 25

/** Reads of all others, in milliseconds; adds to the age of the states that callers see. */
const SPACING_MILLISECONDS = 100

/** Longest wait of one read, in milliseconds: the owner's silence has to be noticed soon. */
const WAIT_MILLISECONDS = 500

/** Follows one topic of the journal, submissions or decisions, in every process. */
export class JournalFollowerTask extends FeedFollowerTask<JournalRecord> {
  private _ownerHeardAt = 0

  /**
   * @param name of the topic, for logs.
   * @param jobTable that both topics are folded into.
   */
  constructor (override readonly name: 'decisions' | 'submissions', readonly jobTable: JobTable, ...rest: ConstructorParameters<typeof FeedFollowerTask<JournalRecord>>) {
    super(...rest)
  }

  /** Epoch milliseconds at which a record of an owner was last taken in: it was written before. */
  get ownerHeardAt (): number {
    return this._ownerHeardAt
  }

  protected override reload (changes: ReadonlyArray<FeedChange<JournalRecord>>): void {
    // Progress is kept apart from its submission, so submissions go before it; and an outcome outlives late copies of its submission.
    const ranked = changes.toSorted((left, right) => this._rank(left) - this._rank(right))
    for (const change of ranked) this.apply(change)
  }

  private _rank ({ value }: FeedChange<JournalRecord>): number {
    return value.kind === 'outcome' ? 0 : value.kind === 'submission' ? 1 : 2
  }

  protected override apply ({ value, offset }: FeedChange<JournalRecord>): void {
    const { ownerRecords } = this.jobTable
    this.jobTable.apply(value, offset)
    if (this.jobTable.ownerRecords !== ownerRecords) this._ownerHeardAt = this.clock.now()
  }

  protected override waitMilliseconds (): number {
    return WAIT_MILLISECONDS
  }

  protected override minimumReadIntervalMilliseconds (): number {
    return this.jobTable.observer ? OWNER_SPACING_MILLISECONDS : SPACING_MILLISECONDS
  }
}
