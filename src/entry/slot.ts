/**
 * The right to run one request now.
 */

/** A slot; it must be released exactly once. */
export interface Slot {
  /**
   * Notes that an endpoint has the request now. Slot time counts from the last such moment,
   * because looking for a free endpoint takes nothing from the other teams.
   */
  readonly begin: () => void
  /** Ends the request's use of the slot and of its team's limit. */
  readonly release: () => void
}
