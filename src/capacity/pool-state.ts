/**
 * Input of the division of the fleet, for one pool.
 */
import type { PoolNeeds } from './pool-needs.js'

/** State of a pool at one moment. */
export interface PoolState {
  readonly name: string
  /** Number of VMs that run tasks, including those that are being moved into the pool. */
  readonly size: number
  /** Whether the pool needs no worker for now: it has neither lasting tasks nor other work. */
  readonly isIdle: boolean
  readonly needs: PoolNeeds
}
