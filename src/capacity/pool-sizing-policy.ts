/**
 * Interface of pool sizing policies.
 */
import type { PoolState } from './pool-state.js'

/** Decides how many workers each pool should have. Implemented by the default policy and by those that it is compared with. */
export abstract class PoolSizingPolicy {
  /** Returns the desired size by pool; a pool without an entry keeps its size. */
  abstract desiredSizes (pools: readonly PoolState[], now: number): Map<string, number>
}
