/**
 * Result of the division of the fleet.
 */

/** How many VMs each pool should have. */
export interface FleetDivision {
  /** Number of VMs by pool; a pool without an entry keeps its size. */
  readonly sizes: ReadonlyMap<string, number>
  /** Number of VMs beyond these sizes that should stay in the pools where they are, since the fleet has needed them lately. */
  readonly retained: number
}
