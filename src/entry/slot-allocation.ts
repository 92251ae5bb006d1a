/**
 * The result of a slot division.
 */

/** What this process may use; fractions are meant on average over time. */
export interface SlotAllotment {
  readonly total: number
  /** Parts of the teams that have demand here. */
  readonly byTeam: ReadonlyMap<string | null, number>
}
