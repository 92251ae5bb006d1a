/**
 * The input of slot divisions.
 */
import type { TeamDemand } from './team-demand.js'

/** A pool's slots and the demand for them, as one process sees them. */
export interface SlotDivisionInput {
  /** Slots of the pool. */
  readonly slots: number
  /** Name of this process. */
  readonly self: string
  /** Names of the entry processes among which the slots are divided, including this one. */
  readonly members: readonly string[]
  readonly teams: readonly TeamDemand[]
}
