/**
 * Divides the fleet by the use of the pools' work.
 */
import { weightedMaxMin } from '../entry/weighted-max-min.js'
import type { FleetDivision } from './fleet-division.js'
import type { FleetState } from './fleet-state.js'
import { PoolSizingPolicy } from './pool-sizing-policy.js'
import type { PoolNeeds } from './pool-needs.js'

/** How long a pool keeps a size that it no longer needs, in milliseconds: for about this long, an idle worker costs less than moving a VM away and back. */
const SCALE_DOWN_DELAY_MILLISECONDS = 1_200

/** How long the fleet keeps VMs running that no pool needs, in milliseconds: one pool's demand often begins where another's ends, and a VM that has gone to standby meanwhile arrives later by its way there and back. */
const FLEET_SCALE_DOWN_DELAY_MILLISECONDS = 1_500

/** A number at one moment. */
interface Sample {
  readonly value: number
  /** Epoch milliseconds. */
  readonly at: number
}

/**
 * Answers loads of which all pools together need more than the fleet has, and demand that ends in one pool where it begins in another. VMs go first to what can still be on time, then to what will be
 * if the arrivals go on growing, then to what a pool has needed within the last moments, and only what is left to late work. Work of no use to its caller keeps VMs that no other pool needs, but
 * gets no more. What isn't enough for one of these is divided evenly, so that no pool's backlog leaves another one without VMs.
 */
export class UsefulnessSizingPolicy extends PoolSizingPolicy {
  private readonly _recentNeeds = new Map<string, Sample[]>()
  private _recentTotals: Sample[] = []

  override divide ({ pools, standbySize }: FleetState, now: number): FleetDivision {
    const fleetSize = standbySize + pools.reduce((sum, { size }) => sum + size, 0)
    const recentNeeds = pools.map(({ name, needs }) => this._recentNeed(name, needs, now))
    const levels = [
      // An idle pool gets its smallest size only if there is enough for the others.
      pools.map(({ needs, isIdle }) => isIdle ? 0 : needs.onTime),
      pools.map(({ needs }) => needs.growth),
      recentNeeds,
      pools.map(({ needs }) => needs.late),
      pools.map(({ needs, size }) => Math.min(needs.obsolete, size))
    ]
    const sizes = levels.reduce((given, wanted) => this._raise(given, wanted, fleetSize), pools.map(() => 0))
    const total = sizes.reduce((sum, size) => sum + size, 0)
    this._recentTotals = this._addSample(this._recentTotals, total, now, FLEET_SCALE_DOWN_DELAY_MILLISECONDS)
    return {
      sizes: new Map(pools.map(({ name }, index) => [name, sizes[index] ?? 0])),
      retained: this._largest(this._recentTotals) - total
    }
  }

  /** Raises what each pool has been given to what it wants, evenly if there isn't enough for all. */
  private _raise (given: readonly number[], wanted: readonly number[], fleetSize: number): number[] {
    const left = Math.max(0, fleetSize - given.reduce((sum, size) => sum + size, 0))
    const increments = wanted.map((size, index) => Math.max(0, size - (given[index] ?? 0)))
    const shares = weightedMaxMin(left, increments.map(demand => ({ weight: 1, demand })))
    const granted = shares.map(Math.floor)
    let remainder = Math.min(left, increments.reduce((sum, size) => sum + size, 0)) - granted.reduce((sum, size) => sum + size, 0)
    return given.map((size, index) => {
      const isRoundedDown = (granted[index] ?? 0) < (shares[index] ?? 0)
      if (isRoundedDown && remainder > 0) remainder -= 1
      else return size + (granted[index] ?? 0)
      return size + (granted[index] ?? 0) + 1
    })
  }

  /** Returns the largest size for work that isn't late that the pool needed within the scale-down delay. */
  private _recentNeed (name: string, { growth }: PoolNeeds, now: number): number {
    const samples = this._addSample(this._recentNeeds.get(name) ?? [], growth, now, SCALE_DOWN_DELAY_MILLISECONDS)
    this._recentNeeds.set(name, samples)
    return this._largest(samples)
  }

  private _addSample (samples: readonly Sample[], value: number, now: number, keptMilliseconds: number): Sample[] {
    return [...samples.filter(({ at }) => at > now - keptMilliseconds), { value, at: now }]
  }

  private _largest (samples: readonly Sample[]): number {
    return Math.max(...samples.map(({ value }) => value))
  }
}
