/**
 * The right to run one request now.
 */

/** A slot; it must be released exactly once. */
export interface Slot {
  /** Ends the request's use of the slot and of its team's limit. */
  readonly release: () => void
}
