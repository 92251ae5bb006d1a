/**
 * The directory of endpoints in use, with one supervisor each.
 */
import type { Metrics } from '../observability/metrics.js'
import type { VirtualMachineState } from '../schemas/virtual-machine-state.js'
import type { FleetState } from '../state/fleet-state.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Supervisor } from '../supervision/supervisor.js'
import type { SupervisorObserver } from '../supervision/supervisor-observer.js'
import { Task } from '../supervision/task.js'
import { ConsecutiveFailureBreaker } from './consecutive-failure-breaker.js'
import type { EndpointProber } from './endpoint-prober.js'
import { EndpointSupervisor } from './endpoint-supervisor.js'

/** Interval between sweeps for dormant endpoints, in milliseconds. */
const SWEEP_INTERVAL_MILLISECONDS = 10_000

/** An endpoint with the function that stops it. */
interface RunningEndpoint {
  readonly endpoint: EndpointSupervisor
  readonly stop: () => Promise<void>
}

/**
 * Starts an endpoint's supervisor on the VM's first request and stops it when the VM leaves, reboots, changes its
 * address or has had no work for a while. The cost of a process grows with the endpoints it uses, not with the fleet.
 */
export class EndpointDirectoryTask extends Task {
  override readonly name = 'endpoint-directory'
  private readonly _endpoints = new Map<string, RunningEndpoint>()
  private _reconciledState: FleetState | null = null
  private _reconciledOffset = -1
  private _sweepDeadline = 0

  /** @param _supervisor parent of the endpoint supervisors. */
  constructor (
    private readonly _supervisor: Supervisor,
    private readonly _keeper: StateKeeper,
    private readonly _prober: EndpointProber,
    private readonly _clock: Clock,
    private readonly _random: RandomSource,
    private readonly _observer: SupervisorObserver,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  /** Returns the endpoint of a VM if its supervisor is running. */
  peek (virtualMachine: string): EndpointSupervisor | undefined {
    return this._endpoints.get(virtualMachine)?.endpoint
  }

  /** Returns the endpoint of a VM and starts its supervisor if needed; undefined if the VM is unknown or rebooting. */
  get (virtualMachine: string): EndpointSupervisor | undefined {
    const virtualMachineState = this._keeper.state.virtualMachines.get(virtualMachine)
    if (virtualMachineState && virtualMachineState.phase !== 'rebooting' && !this._endpoints.has(virtualMachine)) this._start(virtualMachineState)
    return this._endpoints.get(virtualMachine)?.endpoint
  }

  /** All endpoints whose supervisor is running. */
  all (): EndpointSupervisor[] {
    return [...this._endpoints.values()].map(({ endpoint }) => endpoint)
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isSweepDue = this._clock.now() >= this._sweepDeadline
      if (isSweepDue) this._sweepDeadline = this._clock.now() + SWEEP_INTERVAL_MILLISECONDS
      if (this._hasConfigurationChanged() || isSweepDue) this.reconcile()
      await this._keeper.changed.wait(this._clock, this._sweepDeadline, signal)
    }
  }

  /** Most log records don't change the configuration; reconciling on each of them would dominate the cost of this task. */
  private _hasConfigurationChanged (): boolean {
    const { state } = this._keeper
    if (state === this._reconciledState && state.configurationOffset === this._reconciledOffset) return false
    this._reconciledState = state
    this._reconciledOffset = state.configurationOffset
    return true
  }

  /** Stops the endpoints that are dormant or no longer match the fleet state. */
  reconcile (): void {
    const { virtualMachines } = this._keeper.state
    for (const [id, { endpoint, stop }] of this._endpoints) {
      const virtualMachineState = virtualMachines.get(id)
      if (virtualMachineState && this._isUnchanged(virtualMachineState, endpoint) && !endpoint.isDormant) continue
      this._endpoints.delete(id)
      void stop()
    }
    this._metrics.setGauge('endpoints.connections.level', this.all().reduce((sum, endpoint) => sum + endpoint.connectionCount, 0))
  }

  private _isUnchanged (virtualMachineState: VirtualMachineState, endpoint: EndpointSupervisor): boolean {
    const { host, port } = virtualMachineState.value.address
    return virtualMachineState.phase !== 'rebooting' && endpoint.address.host === host && endpoint.address.port === port
  }

  private _start (virtualMachineState: VirtualMachineState): void {
    const { id, address } = virtualMachineState.value
    const breaker = new ConsecutiveFailureBreaker(this._random)
    const endpoint = new EndpointSupervisor(id, address, this._clock, this._observer, this._prober, breaker, this._metrics)
    const { stop } = this._supervisor.start(endpoint)
    this._endpoints.set(id, { endpoint, stop })
  }
}
