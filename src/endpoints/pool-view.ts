/**
 * The endpoints of a pool that an entry process may use now.
 */
import type { Pool } from '../schemas/pool.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from '../state/fleet-state.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { EndpointCandidate } from './endpoint-candidate.js'
import type { EndpointDirectoryTask } from './endpoint-directory-task.js'

/** Fraction of its slots that an endpoint gets at the beginning of slow start. */
const SLOW_START_MINIMUM_FRACTION = 0.1

/** Combines the fleet state with this process's own knowledge of the endpoints' load and health. */
export class PoolView {
  private readonly _servingByPool = new Map<string, readonly VirtualMachineState[]>()
  private _cachedState: FleetState | null = null
  private _cachedOffset = 0

  constructor (
    private readonly _keeper: StateKeeper,
    private readonly _directory: EndpointDirectoryTask,
    private readonly _clock: Clock,
    private readonly _mayDispatchIn: (availabilityZone: string) => boolean
  ) {}

  /** Endpoints of a pool that may be given new requests now. */
  candidates (pool: string): EndpointCandidate[] {
    const definition = this._keeper.state.pools.get(pool)?.value
    if (!definition) return []
    return this._servingVirtualMachines(pool).flatMap(virtualMachineState => this._candidate(definition, virtualMachineState))
  }

  /** Number of slots on all endpoints of a pool that may be given new requests now. */
  slots (pool: string): number {
    return this.candidates(pool).reduce((sum, candidate) => sum + candidate.slots, 0)
  }

  /** Serving VMs of a pool, cached until the configuration changes, because every request needs them. */
  private _servingVirtualMachines (pool: string): readonly VirtualMachineState[] {
    const { state } = this._keeper
    if (state !== this._cachedState || state.configurationOffset !== this._cachedOffset) {
      this._servingByPool.clear()
      this._cachedState = state
      this._cachedOffset = state.configurationOffset
    }
    const cached = this._servingByPool.get(pool)
    if (cached) return cached
    const serving = state.servingVirtualMachines(pool)
    this._servingByPool.set(pool, serving)
    return serving
  }

  private _candidate (pool: Pool, virtualMachineState: VirtualMachineState): EndpointCandidate[] {
    const { id, availabilityZone } = virtualMachineState.value
    if (!this._mayDispatchIn(availabilityZone)) return []
    const endpoint = this._directory.peek(id)
    return [{
      virtualMachine: id,
      availabilityZone,
      slots: this._currentSlots(pool, virtualMachineState),
      inFlight: endpoint?.inFlight ?? 0,
      reportedRunning: endpoint?.reportedRunning ?? 0,
      latencyMilliseconds: endpoint?.latencyMilliseconds ?? 0,
      isEjected: endpoint !== undefined && (endpoint.isEjected || endpoint.isSuspected)
    }]
  }

  /** During slow start the number of slots grows linearly to the pool's full number, with a minimum of 10%. */
  private _currentSlots (pool: Pool, virtualMachineState: VirtualMachineState): number {
    const remaining = virtualMachineState.slowStartDeadline - this._clock.now()
    if (remaining <= 0 || pool.slowStartMilliseconds === 0) return pool.slotsPerVirtualMachine
    const progress = Math.max(0, 1 - remaining / pool.slowStartMilliseconds)
    return Math.max(1, Math.ceil(pool.slotsPerVirtualMachine * Math.max(SLOW_START_MINIMUM_FRACTION, progress)))
  }
}
