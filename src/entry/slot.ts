/**
 * The permission to run one request now.
 */

/** A slot; it must be released exactly once. */
export interface Slot {
  /**
   * Starts the measurement of slot time; called when the request is sent to an endpoint.
   * Slot time counts from the last call, because searching for a free endpoint uses no
   * capacity that other teams could use.
   */
  readonly begin: () => void
  /** Releases the slot and the unit of the team's limit. */
  readonly release: () => void
}
