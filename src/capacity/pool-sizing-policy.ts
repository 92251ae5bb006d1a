/**
 * How many workers each pool should have.
 */
import type { PoolSituation } from './pool-state.js'

/** Varies between the system's own policy and those that it is measured against. */
export abstract class PoolSizing {
  /** Desired size by pool; a pool without an entry stays as it is. */
  abstract desired (pools: readonly PoolSituation[], now: number): Map<string, number>
}
