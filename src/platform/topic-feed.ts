/**
 * A record feed that reads a keyed topic.
 */
import type { Either } from 'purify-ts/Either'
import type { Maybe } from 'purify-ts/Maybe'
import type { FeedError } from '../feeds/feed-error.js'
import type { FeedPage } from '../feeds/feed-page.js'
import { RecordFeed } from '../feeds/record-feed.js'
import type { KeyedRecord } from './keyed-record.js'
import type { KeyedTopic } from './keyed-topic.js'

/** Decodes the records of the topic and skips those for which the decoder returns nothing. */
export class TopicFeed<T> extends RecordFeed<T> {
  constructor (private readonly _topic: KeyedTopic, private readonly _decode: (record: KeyedRecord) => Maybe<T>) {
    super()
  }

  override async newest (signal: AbortSignal): Promise<Either<FeedError, FeedPage<T>>> {
    return (await this._topic.newest(signal)).map(page => this._decodePage(page))
  }

  override async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<FeedError, FeedPage<T>>> {
    return (await this._topic.read(offset, waitDeadline, signal)).map(page => this._decodePage(page))
  }

  private _decodePage ({ changes, next, end }: FeedPage<KeyedRecord>): FeedPage<T> {
    return {
      changes: changes.flatMap(({ offset, value }) => this._decode(value).map(decoded => [{ offset, value: decoded }]).orDefault([])),
      next,
      end
    }
  }
}
