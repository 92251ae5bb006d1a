/**
 * What a slot division goes by.
 */
import type { TeamDemands } from './team-demand.js'

/** What is to be divided, as this process sees it. */
export interface DivisionInput {
  /** Slots of the pool. */
  readonly slots: number
  /** This process. */
  readonly self: string
  /** Entry processes that take part, this one among them. */
  readonly members: readonly string[]
  readonly teams: readonly TeamDemands[]
}
