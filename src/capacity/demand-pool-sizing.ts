/**
 * Sizes pools after what their tasks want.
 */
import { PoolSizingPolicy } from './pool-sizing-policy.js'
import type { PoolState } from './pool-state.js'

/** Share of a worker's processors that tasks of uneven size can be expected to fill. */
const EXPECTED_UTILIZATION = 0.85

/** How long a pool keeps a size that it no longer needs, in milliseconds: about what a move there and back costs against an idle worker. */
const SCALE_DOWN_DELAY_MILLISECONDS = 1_200

/** What a pool last needed. */
interface SizeSample {
  readonly size: number
  readonly at: number
}

/** Enough workers for everything that could run now. */
export class DemandPoolSizing extends PoolSizingPolicy {
  private readonly _samples = new Map<string, SizeSample[]>()

  override desiredSizes (pools: readonly PoolState[], now: number): Map<string, number> {
    return new Map(pools.map(pool => [pool.name, this._desiredSize(pool, now)]))
  }

  private _desiredSize (pool: PoolState, now: number): number {
    const size = Math.max(pool.minimumSize, Math.ceil(pool.requiredMillicores / (pool.workerMillicores * EXPECTED_UTILIZATION)))
    const recent = [...(this._samples.get(pool.name) ?? []).filter(({ at }) => at > now - SCALE_DOWN_DELAY_MILLISECONDS), { size, at: now }]
    this._samples.set(pool.name, recent)
    return Math.max(...recent.map(sample => sample.size))
  }
}
