/**
 * Moves VMs to the pools that need them.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { FleetTimings } from '../scheduling/fleet-timings.js'
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { FleetDivision } from './fleet-division.js'
import type { FleetState } from './fleet-state.js'
import type { FleetVirtualMachine } from './fleet-virtual-machine.js'
import type { InventoryTask } from './inventory-task.js'
import { LIST_LAG_ALLOWANCE_MILLISECONDS } from './list-lag-allowance.js'
import type { MoveCandidates } from './move-candidates.js'
import type { PoolSizingPolicy } from './pool-sizing-policy.js'
import type { PoolStateCollector } from './pool-state-collector.js'
import type { VirtualMachineLocks } from './virtual-machine-locks.js'
import type { VirtualMachineMoves } from './virtual-machine-moves.js'

/** Time between two rounds, in milliseconds. */
const ROUND_INTERVAL_MILLISECONDS = 150

/** Fraction of the platform's order rate that moves may use; waves and repeated orders need the rest. */
const ORDER_RATE_FRACTION = 0.75

/** Time that an order takes from its decision to the platform, in milliseconds: a write to the journal and a call, with a margin. */
const ORDER_LATENCY_MILLISECONDS = 200

/** Time between two log lines on the division of the fleet, in milliseconds. */
const LOG_INTERVAL_MILLISECONDS = 1_000

/** What the platform allows. */
interface PlatformLimits {
  /** Order rate that the platform accepts from all processes together. */
  readonly ordersPerSecond: number
  readonly timings: FleetTimings
}

/** Compares each pool with what the policy gives it and moves VMs. Shortages are filled directly from pools with a surplus, then from the standby pool, to which VMs that no pool needs return. */
export class PoolSizingTask extends Task {
  override readonly name = 'pool-sizing'
  private readonly _maximumOrdersPerRound: number
  private _nextLogAt = 0

  /** @param _isViewCurrent whether the views that the sizes depend on are current. */
  constructor (
    private readonly _configuration: ConfigurationFollowerTask, private readonly _poolStates: PoolStateCollector, private readonly _policy: PoolSizingPolicy, private readonly _candidates: MoveCandidates, private readonly _moves: VirtualMachineMoves,
    private readonly _inventory: InventoryTask, private readonly _locks: VirtualMachineLocks, private readonly _platform: PlatformLimits, private readonly _isViewCurrent: () => boolean,
    private readonly _clock: Clock, private readonly _metrics: Metrics, private readonly _log: DecisionLog
  ) {
    super()
    this._maximumOrdersPerRound = Math.max(1, Math.floor(_platform.ordersPerSecond * ORDER_RATE_FRACTION * ROUND_INTERVAL_MILLISECONDS / 1_000))
  }

  override async run (signal: AbortSignal): Promise<void> {
    this._moves.inherit()
    while (!signal.aborted) {
      const now = this._clock.now()
      if (this._locks.mayEarlierOrdersBePending) this._inventory.expectChangesUntil(now + ROUND_INTERVAL_MILLISECONDS)
      this._moves.advance(now, signal)
      if (this._inventory.listedAt > 0 && this._isViewCurrent() && this._isListCurrent(now)) this._resize(now, signal)
      await this._clock.sleepUntil(now + ROUND_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  /** Whether a VM that an earlier owner's order has taken since the list can't have its new worker before an order of this round arrives: it is being moved until then. */
  private _isListCurrent (now: number): boolean {
    const maximumAge = this._platform.timings.moveMilliseconds - LIST_LAG_ALLOWANCE_MILLISECONDS - ORDER_LATENCY_MILLISECONDS
    return !this._locks.mayEarlierOrdersBePending || this._inventory.listedAt > now - maximumAge
  }

  private _resize (now: number, signal: AbortSignal): void {
    const fleet = this._poolStates.collect(this._moves.inProgress, now)
    if (fleet.pools.length === 0) return
    const division = this._policy.divide(fleet, now)
    const shortages = new Map<string, number>()
    const surpluses = new Map<string, number>()
    for (const { name, size } of fleet.pools) {
      const difference = (division.sizes.get(name) ?? size) - size
      if (difference > 0) shortages.set(name, difference)
      if (difference < 0) surpluses.set(name, -difference)
    }
    this._logDivision(fleet, division, now)
    const remainingOrders = this._fillShortages(shortages, surpluses, now, signal)
    this._returnToStandby(surpluses, division.retained, remainingOrders, now, signal)
  }

  /** Moves VMs to the pools that lack some; returns how many orders of the round are left. */
  private _fillShortages (shortages: ReadonlyMap<string, number>, surpluses: Map<string, number>, now: number, signal: AbortSignal): number {
    let orders = this._maximumOrdersPerRound
    for (const [pool, count] of [...shortages].sort(([, left], [, right]) => right - left)) {
      for (let missing = count; missing > 0 && orders > 0; missing--) {
        const candidate = this._candidateFor(pool, surpluses, now)
        if (!candidate) break
        this._moves.start(candidate, pool, now, signal)
        orders -= 1
      }
    }
    return orders
  }

  /** Returns the VM that can join a pool first: an idle one of a pool with a surplus, one of the standby pool, or one of a pool with a surplus that is idle soon. */
  private _candidateFor (pool: string, surpluses: Map<string, number>, now: number): FleetVirtualMachine | null {
    const standby = this._standbyPool()
    return this._fromSurplus(surpluses, donor => this._candidates.idle(donor, pool)) ??
      (standby === null ? null : this._candidates.standby(standby, pool)) ??
      this._fromSurplus(surpluses, donor => this._candidates.soonIdle(donor, pool, now))
  }

  private _fromSurplus (surpluses: Map<string, number>, choose: (donor: string) => FleetVirtualMachine | null): FleetVirtualMachine | null {
    for (const [donor, count] of surpluses) {
      const candidate = count > 0 ? choose(donor) : null
      if (!candidate) continue
      surpluses.set(donor, count - 1)
      return candidate
    }
    return null
  }

  /** Returns idle VMs that no pool needs to the standby pool, except those that are retained. */
  private _returnToStandby (surpluses: ReadonlyMap<string, number>, retained: number, maximumOrders: number, now: number, signal: AbortSignal): void {
    const standby = this._standbyPool()
    if (standby === null) return
    let returnable = Math.min(maximumOrders, [...surpluses.values()].reduce((sum, count) => sum + count, 0) - retained)
    for (const [pool, count] of surpluses) {
      for (let extra = count; extra > 0 && returnable > 0; extra--) {
        const candidate = this._candidates.idle(pool, standby)
        if (!candidate) break
        this._moves.start(candidate, standby, now, signal)
        returnable -= 1
      }
    }
  }

  private _standbyPool (): string | null {
    return this._configuration.configuration?.pools.find(({ isStandby }) => isStandby)?.name ?? null
  }

  private _logDivision ({ pools, standbySize }: FleetState, { sizes, retained }: FleetDivision, now: number): void {
    for (const { name, size } of pools) this._metrics.setGauge('capacity.shortage.level', Math.max(0, (sizes.get(name) ?? size) - size), name)
    const isUnchanged = pools.every(({ name, size }) => sizes.get(name) === size)
    if (isUnchanged || now < this._nextLogAt) return
    this._nextLogAt = now + LOG_INTERVAL_MILLISECONDS
    this._log.emit('fleet divided', { pools: pools.map(({ name, size, needs }) => `${name} has ${size} gets ${sizes.get(name) ?? size} needs ${needs.onTime}/${needs.growth}/${needs.late}/${needs.obsolete}`), standby: standbySize, retained })
  }
}
