/**
 * A job journal stored in a keyed topic.
 */
import type { Either } from 'purify-ts/Either'
import type { FeedError } from '../feeds/feed-error.js'
import type { FeedPage } from '../feeds/feed-page.js'
import { JobJournal } from '../jobs/job-journal.js'
import type { JournalFence } from '../jobs/journal-fence.js'
import type { JournalRecord } from '../jobs/journal-record.js'
import { JournalCodec } from './journal-codec.js'
import type { KeyedTopic } from './keyed-topic.js'
import { TopicFeed } from './topic-feed.js'

/** Encodes each journal record as one or more keyed records and appends them in order. */
export class TopicJournal extends JobJournal {
  private readonly _feed: TopicFeed<JournalRecord>

  constructor (private readonly _topic: KeyedTopic) {
    super()
    this._feed = new TopicFeed(_topic, record => JournalCodec.decode(record))
  }

  override newest (signal: AbortSignal): Promise<Either<FeedError, FeedPage<JournalRecord>>> {
    return this._feed.newest(signal)
  }

  override read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<FeedError, FeedPage<JournalRecord>>> {
    return this._feed.read(offset, waitDeadline, signal)
  }

  override append (records: readonly JournalRecord[], fence: JournalFence | null, deadline: number, signal: AbortSignal): Promise<Either<FeedError, number>> {
    return this._topic.append(records.flatMap(record => JournalCodec.encode(record)), fence, deadline, signal)
  }
}
