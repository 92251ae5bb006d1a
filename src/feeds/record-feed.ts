/**
 * Interface to a feed of keyed records that keeps the newest record of each key.
 */
import type { Either } from 'purify-ts/Either'
import type { FeedError } from './feed-error.js'
import type { FeedPage } from './feed-page.js'

/** Feed as read by a follower; adapters decode its records into `T`. */
export abstract class RecordFeed<T> {
  /**
   * Returns the newest record of each key, and the offset from which to continue. Records written
   * during the call may be among them and are then returned again by `read`.
   */
  abstract newest (signal: AbortSignal): Promise<Either<FeedError, FeedPage<T>>>

  /** Returns the records from `offset` on; waits for one until `waitDeadline` (epoch milliseconds). */
  abstract read (offset: number, waitDeadline: number, signal: AbortSignal): Promise<Either<FeedError, FeedPage<T>>>
}
