/**
 * One change read from a feed.
 */

/** A decoded record with its offset. */
export interface FeedChange<T> {
  readonly offset: number
  readonly value: T
}
