/**
 * Everything about one endpoint: its connections, its probe and its health.
 */
import { Left, type Either } from 'purify-ts/Either'
import type { Metrics } from '../observability/metrics.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import type { Clock } from '../supervision/clock.js'
import { Supervisor } from '../supervision/supervisor.js'
import type { SupervisorObserver } from '../supervision/supervisor-observer.js'
import { AttemptFailure } from './attempt-failure.js'
import type { CircuitBreaker } from './circuit-breaker.js'
import type { EndpointResponse } from './endpoint-response.js'
import { PeakEwma } from './peak-ewma.js'
import { EndpointConnectionTask } from './endpoint-connection-task.js'
import { ENDPOINT_HEADERS } from './endpoint-headers.js'
import type { EndpointProber } from './endpoint-prober.js'
import { EndpointProbeTask } from './endpoint-probe-task.js'
import type { EndpointRequest } from './endpoint-request.js'

/** Time without work after which an endpoint may be forgotten, in milliseconds. */
const DORMANT_MILLISECONDS = 30_000

/** Time for which an endpoint's report of what it runs counts, in milliseconds. */
const REPORT_MILLISECONDS = 500

/** Runs one task for each connection to the endpoint and one that watches them. */
export class EndpointSupervisor extends Supervisor {
  private readonly _connections = new Set<EndpointConnectionTask>()
  private readonly _probe: EndpointProbeTask
  private readonly _latency = new PeakEwma()
  private _inFlight = 0
  private _reportedRunning = 0
  private _reportDeadline = 0
  private _dormantDeadline: number

  /**
   * @param virtualMachine id of the VM.
   * @param address where it listens.
   */
  constructor (
    readonly virtualMachine: string,
    readonly address: SocketAddress,
    clock: Clock,
    observer: SupervisorObserver,
    prober: EndpointProber,
    private readonly _breaker: CircuitBreaker,
    private readonly _metrics: Metrics
  ) {
    super(`endpoint-${virtualMachine}`, clock, observer)
    this._dormantDeadline = clock.now() + DORMANT_MILLISECONDS
    this._probe = new EndpointProbeTask(virtualMachine, address, this._connections, prober, clock, _metrics)
    this.add(this._probe)
  }

  /** Requests of this process that the endpoint has now. */
  get inFlight (): number {
    return this._inFlight
  }

  /** Requests of all processes that the endpoint had at its last answer; 0 once that says nothing of the present any more. */
  get reportedRunning (): number {
    return this.clock.now() < this._reportDeadline ? this._reportedRunning : 0
  }

  /** Whether outcomes speak against sending anything. */
  get isEjected (): boolean {
    const now = this.clock.now()
    return this._breaker.isOpen(now) || (this._breaker.isHalfOpen(now) && this._inFlight > 0)
  }

  /** Time that its answers have taken lately, in milliseconds; 0 before the first. */
  get latencyMilliseconds (): number {
    return this._latency.at(this.clock.now())
  }

  /** Whether it answers neither requests nor probes. */
  get isSuspected (): boolean {
    return this._probe.isUnanswered
  }

  /** Whether it may have work of this process, also such whose answer was lost. */
  get isBusy (): boolean {
    return this._inFlight > 0 || this._probe.hasAwaited
  }

  /** Whether it has had no work for so long, and so little speaks against it, that nothing is lost by forgetting it. */
  get isDormant (): boolean {
    const hasState = this.isBusy || this.isSuspected || this.isEjected || this._connections.size > 0
    return !hasState && this.clock.now() >= this._dormantDeadline
  }

  /** Number of open connections. */
  get connectionCount (): number {
    return this._connections.size
  }

  /** Sends a request over an idle connection or a new one. */
  async exchange (request: EndpointRequest): Promise<Either<AttemptFailure, EndpointResponse>> {
    if (this.isStopping) return Left(new AttemptFailure('not-sent', this.virtualMachine, 'endpoint has left'))
    const connection = this._idleConnection() ?? this._open()
    this._inFlight += 1
    const startedAt = this.clock.now()
    this._dormantDeadline = this.clock.now() + DORMANT_MILLISECONDS
    const exchanged = connection.exchange(request)
    this._probe.wake()
    const result = await exchanged
    this._latency.record(this.clock.now() - startedAt, this.clock.now())
    result.ifLeft(failure => this._recordFailure(failure)).ifRight(answer => this._recordAnswer(answer))
    if (result.isLeft()) this._inFlight -= 1
    return result
  }

  /** Notes that the answer's body was read to its end, or was cut. */
  finish (isWhole: boolean): void {
    this._inFlight -= 1
    if (!isWhole) this._noteFailure()
  }

  /** Waits until the endpoint provably doesn't have a request any more, or `deadline` passes. */
  async awaitCompletion (requestId: string, deadline: number, signal: AbortSignal): Promise<void> {
    await this._probe.awaitEnd(requestId, deadline, signal)
  }

  private _idleConnection (): EndpointConnectionTask | undefined {
    // The most recently opened first, so that surplus connections grow idle and close.
    return [...this._connections].findLast(connection => connection.isIdle)
  }

  private _open (): EndpointConnectionTask {
    const connection = new EndpointConnectionTask(this.virtualMachine, this.address, this.clock)
    this._connections.add(connection)
    this._metrics.count('endpoints.opened_connections')
    void this._runConnection(connection)
    return connection
  }

  private async _runConnection (connection: EndpointConnectionTask): Promise<void> {
    await this.start(connection).ended
    this._connections.delete(connection)
  }

  private _recordAnswer (answer: EndpointResponse): void {
    this._reportDeadline = this.clock.now() + REPORT_MILLISECONDS
    this._reportedRunning = Number(answer.headers[ENDPOINT_HEADERS.running] ?? 0) || 0
    // A whole answer of 5xx goes to the caller as it is, and yet tells that the endpoint is unwell.
    if (answer.status >= 500) this._noteFailure()
    else this._breaker.recordSuccess()
  }

  private _recordFailure (failure: AttemptFailure): void {
    if (failure.kind === 'refused') {
      this._metrics.count('endpoints.refusals')
      return
    }
    if (failure.kind === 'not-sent') this._probe.doubt()
    if (failure.kind === 'silent') this._metrics.count('endpoints.silent_connections')
    if (failure.kind === 'crossed') this._metrics.count('requests.crossed_answers')
    if (failure.kind !== 'aborted') this._noteFailure()
  }

  private _noteFailure (): void {
    const now = this.clock.now()
    const wasOpen = this._breaker.isOpen(now)
    this._breaker.recordFailure(now)
    if (!wasOpen && this._breaker.isOpen(now)) this._metrics.count('endpoints.ejections')
  }
}
