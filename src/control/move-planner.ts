/**
 * Which VMs move to bring pools to their sizes.
 */
import type { FleetState } from '../state/fleet-state.js'
import type { PlannedMove } from './planned-move.js'

/** Plans moves from the state alone. */
export abstract class MovePlanner {
  /** Moves that are missing for the preset in force; empty when every pool has its size or is getting it. */
  abstract plan (state: FleetState): PlannedMove[]
}
