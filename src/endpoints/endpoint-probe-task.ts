/**
 * The task that detects dead connections of one endpoint.
 */
import type { Metrics } from '../observability/metrics.js'
import type { EndpointHealth } from '../schemas/endpoint-health.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { Task } from '../supervision/task.js'
import type { EndpointConnectionTask } from './endpoint-connection-task.js'
import type { EndpointProber } from './endpoint-prober.js'

/** Interval between checks of the connections, in milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 500

/** How long a request may go without progress before the endpoint is probed, in milliseconds. */
const STALL_TIMEOUT_MILLISECONDS = 1_500

/** Number of consecutive unanswered probes after which the endpoint is considered dead. */
const UNANSWERED_PROBES_TO_SUSPECT = 3

/** Probes that must not list a request before its connection counts as silent: at the first, the response may still be in transit. */
const MISSES_TO_DECLARE_SILENT = 2

/**
 * Asks the endpoint over a new connection which requests it has, but only while a request makes no progress, could
 * not be sent or has an unknown outcome: a responsive endpoint is not probed. If one connection is silent, all open
 * connections are retired, so a broken network path delays one request and not every later one.
 */
export class EndpointProbeTask extends Task {
  override readonly name = 'endpoint-probe'
  private readonly _missedProbes = new Map<string, number>()
  private readonly _unconfirmed = new Map<string, () => void>()
  private _unansweredProbes = 0
  private _isProbeRequested = false
  private readonly _woken = new Notifier()

  constructor (
    private readonly _virtualMachine: string,
    private readonly _address: SocketAddress,
    private readonly _connections: ReadonlySet<EndpointConnectionTask>,
    private readonly _prober: EndpointProber,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  /** Whether several consecutive probes got no response. */
  get isUnresponsive (): boolean {
    return this._unansweredProbes >= UNANSWERED_PROBES_TO_SUSPECT
  }

  /** Whether requests whose responses were lost may still run on the endpoint. */
  get hasUnconfirmedRequests (): boolean {
    return this._unconfirmed.size > 0
  }

  /** Requests a probe at the next check; called when a request could not be sent. */
  requestProbe (): void {
    this._isProbeRequested = true
    this.wake()
  }

  /** Resumes the checks; must be called when a request is sent. */
  wake (): void {
    this._woken.notify()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this._hasWork()) {
        // Waits without a deadline, because thousands of idle endpoints must not use timers.
        await this._woken.wait(this._clock, Infinity, signal)
        continue
      }
      await this._clock.sleepUntil(this._clock.now() + POLL_INTERVAL_MILLISECONDS, signal).catch(() => {})
      if (signal.aborted) return
      const stalled = this._stalledConnections()
      if (stalled.length === 0 && this._unconfirmed.size === 0 && this._unansweredProbes === 0 && !this._isProbeRequested) {
        this._missedProbes.clear()
        continue
      }
      this._isProbeRequested = false
      const health = await this._probeEndpoint()
      if (health) this._handleHealth(stalled, new Set(health.running))
      else this._recordUnansweredProbe(stalled)
    }
  }

  /** Waits until a probe shows that the endpoint no longer has the request, until `deadline`, or until `signal` is aborted. */
  async awaitCompletion (requestId: string, deadline: number, signal: AbortSignal): Promise<void> {
    const completion = new AbortController()
    const complete = (): void => completion.abort()
    signal.addEventListener('abort', complete, { once: true })
    this._unconfirmed.set(requestId, complete)
    this.wake()
    await this._clock.sleepUntil(deadline, completion.signal).catch(() => {})
    this._unconfirmed.delete(requestId)
    signal.removeEventListener('abort', complete)
  }

  private _hasWork (): boolean {
    if (this._isProbeRequested || this._unansweredProbes > 0 || this._unconfirmed.size > 0) return true
    for (const connection of this._connections) if (connection.currentRequest) return true
    return false
  }

  private _stalledConnections (): EndpointConnectionTask[] {
    const stalledSince = this._clock.now() - STALL_TIMEOUT_MILLISECONDS
    return [...this._connections].filter(connection => connection.currentRequest && connection.lastProgressAt <= stalledSince)
  }

  private _handleHealth (stalled: EndpointConnectionTask[], running: ReadonlySet<string>): void {
    this._unansweredProbes = 0
    for (const [requestId, resolve] of this._unconfirmed) if (!running.has(requestId)) resolve()
    const silent = stalled.filter(connection => this._isMissing(connection.currentRequest?.requestId, running))
    if (silent.length === 0) return
    for (const connection of silent) connection.terminateAsSilent()
    for (const connection of this._connections) connection.retire()
  }

  private _isMissing (requestId: string | undefined, running: ReadonlySet<string>): boolean {
    if (requestId === undefined || running.has(requestId)) return false
    const misses = (this._missedProbes.get(requestId) ?? 0) + 1
    this._missedProbes.set(requestId, misses)
    return misses >= MISSES_TO_DECLARE_SILENT
  }

  /**
   * Repeatable requests fail as lost once the endpoint is considered dead, so they can be retried elsewhere. The others
   * keep waiting until their deadlines, because the endpoint may recover and still respond.
   */
  private _recordUnansweredProbe (stalled: EndpointConnectionTask[]): void {
    this._unansweredProbes += 1
    if (!this.isUnresponsive) return
    for (const connection of stalled) if (connection.currentRequest?.isRepeatable) connection.terminateAsLost()
  }

  private async _probeEndpoint (): Promise<EndpointHealth | undefined> {
    this._metrics.count('endpoints.probes')
    const health = await this._prober.probe(this._address)
    return health.filter(({ virtualMachine }) => virtualMachine === this._virtualMachine).extract()
  }
}
