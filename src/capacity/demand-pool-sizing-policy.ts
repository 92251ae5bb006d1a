/**
 * Sizes pools by the demand of their tasks.
 */
import { PoolSizingPolicy } from './pool-sizing-policy.js'
import type { PoolState } from './pool-state.js'

/** Fraction of a worker's processors that tasks of uneven size can be expected to use. */
const EXPECTED_UTILIZATION = 0.85

/** How long a pool keeps a size that it no longer needs, in milliseconds: for about this long, an idle worker costs less than moving a VM away and back. */
const SCALE_DOWN_DELAY_MILLISECONDS = 1_200

/** Size that a pool needed at one moment. */
interface SizeSample {
  readonly size: number
  /** Epoch milliseconds. */
  readonly at: number
}

/** Provides enough workers for all tasks that could run now or soon. */
export class DemandPoolSizingPolicy extends PoolSizingPolicy {
  private readonly _samples = new Map<string, SizeSample[]>()

  override desiredSizes (pools: readonly PoolState[], now: number): Map<string, number> {
    return new Map(pools.map(pool => [pool.name, this._desiredSize(pool, now)]))
  }

  /** Returns the largest size that the pool needed within the scale-down delay. */
  private _desiredSize (pool: PoolState, now: number): number {
    const size = Math.max(pool.minimumSize, Math.ceil(pool.requiredMillicores / (pool.workerMillicores * EXPECTED_UTILIZATION)))
    const recent = [...(this._samples.get(pool.name) ?? []).filter(({ at }) => at > now - SCALE_DOWN_DELAY_MILLISECONDS), { size, at: now }]
    this._samples.set(pool.name, recent)
    return Math.max(...recent.map(sample => sample.size))
  }
}
