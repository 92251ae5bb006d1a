/**
 * Proof of ownership for an append to the journal.
 */

/** The store refuses appends of a lower term or out of sequence. */
export interface JournalFence {
  readonly term: number
  /** Number of the append within the term. */
  readonly sequence: number
  /** Offset at which the journal must end for the append to be accepted; any if left out. */
  readonly expectedEnd?: number
}
