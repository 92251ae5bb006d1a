/**
 * Interface of pool sizing policies.
 */
import type { FleetDivision } from './fleet-division.js'
import type { FleetState } from './fleet-state.js'

/** Decides how the VMs of the fleet are divided among its pools. Implemented by the default policy and by those that it is compared with. */
export abstract class PoolSizingPolicy {
  /** Returns the division of the fleet at a moment, in epoch milliseconds. */
  abstract divide (fleet: FleetState, now: number): FleetDivision
}
