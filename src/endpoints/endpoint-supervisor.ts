/**
 * The supervisor of one endpoint: its connections, its probe task and its health.
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

/** Time without requests after which an endpoint is dormant, in milliseconds. */
const DORMANCY_TIMEOUT_MILLISECONDS = 30_000

/** How long an endpoint's reported number of running requests is used, in milliseconds. */
const REPORT_VALIDITY_MILLISECONDS = 500

/** Runs one task for each connection to the endpoint and one that probes the endpoint. */
export class EndpointSupervisor extends Supervisor {
  private readonly _connections = new Set<EndpointConnectionTask>()
  private readonly _probeTask: EndpointProbeTask
  private readonly _latency = new PeakEwma()
  private _inFlight = 0
  private _reportedRunning = 0
  private _reportDeadline = 0
  private _dormantDeadline: number

  /**
   * @param virtualMachine ID of the endpoint's VM.
   * @param address listen address of the endpoint.
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
    this._dormantDeadline = clock.now() + DORMANCY_TIMEOUT_MILLISECONDS
    this._probeTask = new EndpointProbeTask(virtualMachine, address, this._connections, prober, clock, _metrics)
    this.add(this._probeTask)
  }

  /** Requests from this process that the endpoint is handling. */
  get inFlight (): number {
    return this._inFlight
  }

  /** Requests from all processes that the endpoint was handling, as its last response reported; 0 once that report is out of date. */
  get reportedRunning (): number {
    return this.clock.now() < this._reportDeadline ? this._reportedRunning : 0
  }

  /** Whether no request should be sent because of recent failures; a half-open breaker allows one at a time. */
  get isEjected (): boolean {
    const now = this.clock.now()
    return this._breaker.isOpen(now) || (this._breaker.isHalfOpen(now) && this._inFlight > 0)
  }

  /** Recent response latency in milliseconds; 0 before the first response. */
  get latencyMilliseconds (): number {
    return this._latency.valueAt(this.clock.now())
  }

  /** Whether the endpoint is perhaps unreachable: several consecutive probes got no response. */
  get isSuspected (): boolean {
    return this._probeTask.isUnresponsive
  }

  /** Whether the endpoint may be running requests from this process, including those whose responses were lost. */
  get isBusy (): boolean {
    return this._inFlight > 0 || this._probeTask.hasUnconfirmedRequests
  }

  /** Whether the endpoint has had no work for a while and has no connections or failure state worth keeping, so it can be removed. */
  get isDormant (): boolean {
    const isInUse = this.isBusy || this.isSuspected || this.isEjected || this._connections.size > 0
    return !isInUse && this.clock.now() >= this._dormantDeadline
  }

  /** Number of open connections. */
  get connectionCount (): number {
    return this._connections.size
  }

  /** Sends a request over an idle connection or a new one. After a response, the caller must call `finish`. */
  async exchange (request: EndpointRequest): Promise<Either<AttemptFailure, EndpointResponse>> {
    if (this.isStopping) return Left(new AttemptFailure('not-sent', this.virtualMachine, 'endpoint has left'))
    const connection = this._idleConnection() ?? this._openConnection()
    this._inFlight += 1
    const startedAt = this.clock.now()
    this._dormantDeadline = this.clock.now() + DORMANCY_TIMEOUT_MILLISECONDS
    const exchanged = connection.exchange(request)
    this._probeTask.wake()
    const result = await exchanged
    this._latency.record(this.clock.now() - startedAt, this.clock.now())
    result.ifLeft(failure => this._recordAttemptFailure(failure)).ifRight(response => this._recordResponse(response))
    if (result.isLeft()) this._inFlight -= 1
    return result
  }

  /** Records that the response body was read to its end or was truncated. */
  finish (isComplete: boolean): void {
    this._inFlight -= 1
    if (!isComplete) this._recordBreakerFailure()
  }

  /** Waits until the endpoint is known no longer to have a request, until `deadline`, or until `signal` is aborted. */
  async awaitCompletion (requestId: string, deadline: number, signal: AbortSignal): Promise<void> {
    await this._probeTask.awaitCompletion(requestId, deadline, signal)
  }

  private _idleConnection (): EndpointConnectionTask | undefined {
    // Prefers the most recently opened connection, so that surplus connections become idle and close.
    return [...this._connections].findLast(connection => connection.isIdle)
  }

  private _openConnection (): EndpointConnectionTask {
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

  private _recordResponse (response: EndpointResponse): void {
    this._reportDeadline = this.clock.now() + REPORT_VALIDITY_MILLISECONDS
    this._reportedRunning = Number(response.headers[ENDPOINT_HEADERS.running] ?? 0) || 0
    // A complete 5xx response is passed to the caller, but still counts as a failure of the endpoint.
    if (response.status >= 500) this._recordBreakerFailure()
    else this._breaker.recordSuccess()
  }

  private _recordAttemptFailure (failure: AttemptFailure): void {
    if (failure.kind === 'refused') {
      this._metrics.count('endpoints.refusals')
      return
    }
    if (failure.kind === 'not-sent') this._probeTask.requestProbe()
    if (failure.kind === 'silent') this._metrics.count('endpoints.silent_connections')
    if (failure.kind === 'crossed') this._metrics.count('requests.crossed_answers')
    if (failure.kind !== 'aborted') this._recordBreakerFailure()
  }

  private _recordBreakerFailure (): void {
    const now = this.clock.now()
    const wasOpen = this._breaker.isOpen(now)
    this._breaker.recordFailure(now)
    if (!wasOpen && this._breaker.isOpen(now)) this._metrics.count('endpoints.ejections')
  }
}
