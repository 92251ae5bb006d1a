/**
 * Result of one read of a feed.
 */
import type { FeedChange } from './feed-change.js'

/** Changes in order, and the feed's end at the time of the read. */
export interface FeedPage<T> {
  readonly changes: ReadonlyArray<FeedChange<T>>
  /** Offset of the next read. */
  readonly next: number
  /** Offset after the newest record. */
  readonly end: number
}
