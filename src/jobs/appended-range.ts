/**
 * The place of appended records in a journal.
 */

/** Offsets of the records of one append. */
export interface AppendedRange {
  /** Offset of the first record. */
  readonly first: number
  /** Offset after the last record. */
  readonly next: number
}
