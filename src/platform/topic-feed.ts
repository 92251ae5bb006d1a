/**
 * A record feed that reads a keyed topic.
 */
import type { Either } from 'purify-ts/Either'
import type { Maybe } from 'purify-ts/Maybe'
import type { FeedChange } from '../feeds/feed-change.js'
import type { FeedError } from '../feeds/feed-error.js'
import type { FeedPage } from '../feeds/feed-page.js'
import { RecordFeed } from '../feeds/record-feed.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { KeyedRecord } from './keyed-record.js'
import type { KeyedTopic } from './keyed-topic.js'

/** Part of a record's key that is logged, in characters. */
const MAXIMUM_KEY_CHARACTERS = 100

/** Decodes the records of the topic and skips those for which the decoder returns nothing, or fails. */
export class TopicFeed<T> extends RecordFeed<T> {
  constructor (private readonly _topic: KeyedTopic, private readonly _decode: (record: KeyedRecord) => Maybe<T>, private readonly _log: DecisionLog) {
    super()
  }

  override async newest (signal: AbortSignal): Promise<Either<FeedError, FeedPage<T>>> {
    return (await this._topic.newest(signal)).map(page => this._decodePage(page))
  }

  override async read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<FeedError, FeedPage<T>>> {
    return (await this._topic.read(offset, waitDeadline, signal)).map(page => this._decodePage(page))
  }

  /** A decoder that throws would end the task that reads the topic, and again after each restart. */
  private _decodePage ({ changes, next, end }: FeedPage<KeyedRecord>): FeedPage<T> {
    const decoded: Array<FeedChange<T>> = []
    for (const { offset, value } of changes) {
      try {
        this._decode(value).ifJust(change => decoded.push({ offset, value: change }))
      } catch (error) {
        this._log.emit('record not decoded', { topic: this._topic.name, key: value.key.slice(0, MAXIMUM_KEY_CHARACTERS), offset, cause: (error as Error).message })
      }
    }
    return { changes: decoded, next, end }
  }
}
