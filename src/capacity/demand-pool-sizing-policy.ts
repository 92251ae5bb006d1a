/**
 * Sizes pools after what their tasks want.
 */
import { PoolSizing } from './pool-sizing-policy.js'
import type { PoolSituation } from './pool-state.js'

/** Share of a worker's processors that tasks of uneven size can be expected to fill. */
const FILL = 0.85

/** How long a pool keeps a size that it no longer needs, in milliseconds: about what a move there and back costs against an idle worker. */
const RETENTION_MILLISECONDS = 1_200

/** What a pool last needed. */
interface Need {
  readonly size: number
  readonly at: number
}

/** Enough workers for everything that could run now. */
export class DemandPoolSizingPolicy extends PoolSizing {
  private readonly _needs = new Map<string, Need[]>()

  override desired (pools: readonly PoolSituation[], now: number): Map<string, number> {
    return new Map(pools.map(pool => [pool.name, this._desired(pool, now)]))
  }

  private _desired (pool: PoolSituation, now: number): number {
    const size = Math.max(pool.floor, Math.ceil(pool.wantedMillicores / (pool.workerMillicores * FILL)))
    const recent = [...(this._needs.get(pool.name) ?? []).filter(({ at }) => at > now - RETENTION_MILLISECONDS), { size, at: now }]
    this._needs.set(pool.name, recent)
    return Math.max(...recent.map(need => need.size))
  }
}
