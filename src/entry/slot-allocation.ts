/**
 * The result of a slot division: one process's allocation.
 */

/** Slots of a pool that one process may use; fractional slots apply on average over time. */
export interface SlotAllocation {
  readonly total: number
  /** Slots for each team that has demand at this process. */
  readonly byTeam: ReadonlyMap<string | null, number>
}
