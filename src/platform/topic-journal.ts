/**
 * A job journal stored in a keyed topic.
 */
import type { Either } from 'purify-ts/Either'
import type { FeedError } from '../feeds/feed-error.js'
import type { FeedPage } from '../feeds/feed-page.js'
import type { AppendedRange } from '../jobs/appended-range.js'
import { JobJournal } from '../jobs/job-journal.js'
import type { JournalFence } from '../jobs/journal-fence.js'
import type { JournalRecord } from '../jobs/journal-record.js'
import type { DecisionLog } from '../observability/decision-log.js'
import { JournalCodec } from './journal-codec.js'
import type { KeyedTopic } from './keyed-topic.js'
import { TopicFeed } from './topic-feed.js'

/** Limits of the store on one record and on one append, in bytes. */
const MAXIMUM_RECORD_BYTES = 262_144
const MAXIMUM_APPEND_BYTES = 2_097_152

/** Length fields of a record and of its key, in bytes. */
const RECORD_OVERHEAD_BYTES = 5

/** Encodes each journal record as one or more keyed records and appends them in order. */
export class TopicJournal extends JobJournal {
  private readonly _feed: TopicFeed<JournalRecord>

  constructor (private readonly _topic: KeyedTopic, log: DecisionLog) {
    super()
    this._feed = new TopicFeed(_topic, record => JournalCodec.decode(record), log)
  }

  override readonly sizeLimits = { record: MAXIMUM_RECORD_BYTES, append: MAXIMUM_APPEND_BYTES }

  override sizeOf (record: JournalRecord): number {
    return JournalCodec.encode(record).reduce((size, { key, value }) => size + key.length + value.length + RECORD_OVERHEAD_BYTES, 0)
  }

  override newest (signal: AbortSignal): Promise<Either<FeedError, FeedPage<JournalRecord>>> {
    return this._feed.newest(signal)
  }

  override read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<FeedError, FeedPage<JournalRecord>>> {
    return this._feed.read(offset, waitDeadline, signal)
  }

  override async append (records: readonly JournalRecord[], fence: JournalFence | null, deadline: number, signal: AbortSignal): Promise<Either<FeedError, AppendedRange>> {
    const encoded = records.flatMap(record => JournalCodec.encode(record))
    return (await this._topic.append(encoded, fence, deadline, signal)).map(first => ({ first, next: first + encoded.length }))
  }
}
