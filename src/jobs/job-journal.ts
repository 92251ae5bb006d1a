/**
 * Durable storage of jobs: an append-only log that keeps the newest record of each object.
 */
import type { Either } from 'purify-ts/Either'
import type { FeedError } from '../feeds/feed-error.js'
import { RecordFeed } from '../feeds/record-feed.js'
import type { AppendedRange } from './appended-range.js'
import type { JournalFence } from './journal-fence.js'
import type { JournalRecord } from './journal-record.js'

/** Interface to the job journal; adapters implement it for a store. */
export abstract class JobJournal extends RecordFeed<JournalRecord> {
  /** Largest size of a record, and of all records of one append, in bytes. */
  abstract readonly sizeLimits: { readonly record: number, readonly append: number }

  /** Returns the size of a record as stored, in bytes. */
  abstract sizeOf (record: JournalRecord): number

  /**
   * Appends records atomically. If the response was lost, repeating the append with the same fence returns the original result.
   *
   * @param fence proof of the owner's term, or null for records that any process may write.
   * @param deadline epoch milliseconds.
   */
  abstract append (records: readonly JournalRecord[], fence: JournalFence | null, deadline: number, signal: AbortSignal): Promise<Either<FeedError, AppendedRange>>
}
