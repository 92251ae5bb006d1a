/**
 * Keeps one supervisor for each endpoint in use.
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

/** How often endpoints without work are looked for, in milliseconds. */
const SWEEP_INTERVAL_MILLISECONDS = 10_000

/** An endpoint with the function that stops it. */
interface Running {
  readonly endpoint: EndpointSupervisor
  readonly stop: () => Promise<void>
}

/**
 * Starts a supervisor with a VM's first request, and stops it when the VM leaves or has had
 * no work for a while: a process pays for the endpoints that it uses, not for the fleet.
 */
export class EndpointDirectoryTask extends Task {
  override readonly name = 'endpoint-directory'
  private readonly _running = new Map<string, Running>()
  private _reconciledState: FleetState | null = null
  private _reconciledOffset = -1
  private _sweepDeadline = 0

  /** @param _supervisor under which the endpoints run. */
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

  /** The endpoint of a VM if it has had work lately. */
  peek (virtualMachine: string): EndpointSupervisor | undefined {
    return this._running.get(virtualMachine)?.endpoint
  }

  /** The endpoint of a VM that may have work, started with its first request. */
  get (virtualMachine: string): EndpointSupervisor | undefined {
    const machine = this._keeper.state.virtualMachines.get(virtualMachine)
    if (machine && machine.phase !== 'rebooting' && !this._running.has(virtualMachine)) this._start(machine)
    return this._running.get(virtualMachine)?.endpoint
  }

  /** All endpoints that have had work lately. */
  all (): EndpointSupervisor[] {
    return [...this._running.values()].map(({ endpoint }) => endpoint)
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isSweepDue = this._clock.now() >= this._sweepDeadline
      if (isSweepDue) this._sweepDeadline = this._clock.now() + SWEEP_INTERVAL_MILLISECONDS
      if (this._isConfigurationNew() || isSweepDue) this.reconcile()
      await this._keeper.changed.wait(this._clock, this._sweepDeadline, signal)
    }
  }

  /** Most records change nothing here; going through all VMs for each would cost more than the rest together. */
  private _isConfigurationNew (): boolean {
    const { state } = this._keeper
    if (state === this._reconciledState && state.configurationOffset === this._reconciledOffset) return false
    this._reconciledState = state
    this._reconciledOffset = state.configurationOffset
    return true
  }

  /** Brings the endpoints in line with the state. */
  reconcile (): void {
    const { virtualMachines } = this._keeper.state
    for (const [id, { endpoint, stop }] of this._running) {
      const machine = virtualMachines.get(id)
      if (machine && this._isSame(machine, endpoint) && !endpoint.isDormant) continue
      this._running.delete(id)
      void stop()
    }
    this._metrics.setGauge('endpoints.connections.level', this.all().reduce((sum, endpoint) => sum + endpoint.connectionCount, 0))
  }

  private _isSame (machine: VirtualMachineState, endpoint: EndpointSupervisor): boolean {
    const { host, port } = machine.value.address
    return machine.phase !== 'rebooting' && endpoint.address.host === host && endpoint.address.port === port
  }

  private _start (machine: VirtualMachineState): void {
    const { id, address } = machine.value
    const breaker = new ConsecutiveFailureBreaker(this._random)
    const endpoint = new EndpointSupervisor(id, address, this._clock, this._observer, this._prober, breaker, this._metrics)
    const { stop } = this._supervisor.start(endpoint)
    this._running.set(id, { endpoint, stop })
  }
}
