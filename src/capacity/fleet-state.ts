/**
 * Input of the division of the fleet.
 */
import type { PoolState } from './pool-state.js'

/** State of all pools at one moment. */
export interface FleetState {
  /** All pools except the standby pool. */
  readonly pools: readonly PoolState[]
  /** Number of VMs in the standby pool, or on their way there. */
  readonly standbySize: number
}
