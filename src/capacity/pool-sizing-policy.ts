/**
 * How many workers each pool should have.
 */
import type { PoolState } from './pool-state.js'

/** Varies between the system's own policy and those that it is measured against. */
export abstract class PoolSizingPolicy {
  /** Desired size by pool; a pool without an entry stays as it is. */
  abstract desiredSizes (pools: readonly PoolState[], now: number): Map<string, number>
}
