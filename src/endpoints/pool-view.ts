/**
 * The endpoints of a pool as an entry process may use them now.
 */
import type { Pool } from '../schemas/pool.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from '../state/fleet-state.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { EndpointCandidate } from './endpoint-candidate.js'
import type { EndpointDirectoryTask } from './endpoint-directory-task.js'

/** Part of its slots that an endpoint gets at the beginning of its slow start. */
const SLOW_START_FLOOR = 0.1

/** Joins the agreed state with what this process knows of the endpoints. */
export class PoolView {
  private readonly _index = new Map<string, readonly VirtualMachineState[]>()
  private _indexedState: FleetState | null = null
  private _indexedOffset = 0

  constructor (
    private readonly _keeper: StateKeeper,
    private readonly _directory: EndpointDirectoryTask,
    private readonly _clock: Clock,
    private readonly _mayStartIn: (availabilityZone: string) => boolean
  ) {}

  /** Endpoints of a pool on which work may start now. */
  candidates (pool: string): EndpointCandidate[] {
    const definition = this._keeper.state.pools.get(pool)?.value
    if (!definition) return []
    return this._servingIn(pool).flatMap(machine => this._candidate(definition, machine))
  }

  /** Slots of a pool over all endpoints on which work may start now. */
  slots (pool: string): number {
    return this.candidates(pool).reduce((sum, candidate) => sum + candidate.slots, 0)
  }

  /** Serving VMs of a pool, kept until the configuration changes, since every request asks. */
  private _servingIn (pool: string): readonly VirtualMachineState[] {
    const { state } = this._keeper
    if (state !== this._indexedState || state.configurationOffset !== this._indexedOffset) {
      this._index.clear()
      this._indexedState = state
      this._indexedOffset = state.configurationOffset
    }
    const known = this._index.get(pool)
    if (known) return known
    const serving = state.servingVirtualMachines(pool)
    this._index.set(pool, serving)
    return serving
  }

  private _candidate (pool: Pool, machine: VirtualMachineState): EndpointCandidate[] {
    const { id, availabilityZone } = machine.value
    if (!this._mayStartIn(availabilityZone)) return []
    const endpoint = this._directory.peek(id)
    return [{
      virtualMachine: id,
      availabilityZone,
      slots: this._slots(pool, machine),
      inFlight: endpoint?.inFlight ?? 0,
      reportedRunning: endpoint?.reportedRunning ?? 0,
      latencyMilliseconds: endpoint?.latencyMilliseconds ?? 0,
      isEjected: endpoint !== undefined && (endpoint.isEjected || endpoint.isSuspected)
    }]
  }

  /** Grows in a straight line from a tenth to the whole until the slow start's deadline. */
  private _slots (pool: Pool, machine: VirtualMachineState): number {
    const remaining = machine.slowStartDeadline - this._clock.now()
    if (remaining <= 0 || pool.slowStartMilliseconds === 0) return pool.slotsPerVirtualMachine
    const progress = Math.max(0, 1 - remaining / pool.slowStartMilliseconds)
    return Math.max(1, Math.ceil(pool.slotsPerVirtualMachine * Math.max(SLOW_START_FLOOR, progress)))
  }
}
