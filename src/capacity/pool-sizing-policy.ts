/**
 * Interface of pool sizing policies.
 */
import type { PoolState } from './pool-state.js'

/** Decides how many workers each pool should have, so that other policies can be compared with the default one. */
export abstract class PoolSizingPolicy {
  /** Returns the desired size by pool; a pool without an entry keeps its size. */
  abstract desiredSizes (pools: readonly PoolState[], now: number): Map<string, number>
}
