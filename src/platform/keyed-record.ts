/**
 * A record of a keyed topic.
 */

/** A record with an empty value deletes its key. */
export interface KeyedRecord {
  readonly key: string
  readonly value: Buffer
}
