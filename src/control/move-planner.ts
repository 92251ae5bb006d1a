/**
 * Interface of planners that bring pools to their sizes.
 */
import type { FleetState } from '../state/fleet-state.js'
import type { PlannedMove } from './planned-move.js'

/** Plans moves of VMs between pools from the state alone. */
export abstract class MovePlanner {
  /** Moves still to be started for the preset in force; empty when every pool has its size or will have it after the moves in progress. */
  abstract plan (state: FleetState): PlannedMove[]
}
