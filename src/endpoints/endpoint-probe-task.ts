/**
 * Watches the connections of one endpoint for silence.
 */
import type { Metrics } from '../observability/metrics.js'
import type { EndpointHealth } from '../schemas/endpoint-health.js'
import type { SocketAddress } from '../schemas/socket-address.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import { Task } from '../supervision/task.js'
import type { EndpointConnectionTask } from './endpoint-connection-task.js'
import type { EndpointProber } from './endpoint-prober.js'

/** How often connections are looked at, in milliseconds. */
const CHECK_INTERVAL_MILLISECONDS = 500

/** How long a request may stand still before the endpoint is asked about it, in milliseconds. */
const SUSPICION_MILLISECONDS = 1_500

/** Probes in a row, all without answer, after which the endpoint counts as dead. */
const UNANSWERED_PROBES = 3

/** Probes in a row that must miss a request before its connection counts as silent: the answer may be on its way at the first. */
const MISSED_PROBES = 2

/**
 * Asks the endpoint over a new connection what it runs, but only while something stands
 * still: an endpoint that answers costs no probes. One silent connection casts doubt on
 * all that are open, so a dead path costs one wait and not one for each request.
 */
export class EndpointProbeTask extends Task {
  override readonly name = 'endpoint-probe'
  private readonly _misses = new Map<string, number>()
  private readonly _awaited = new Map<string, () => void>()
  private _unanswered = 0
  private _isInDoubt = false
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

  /** Whether the endpoint has left several probes in a row without answer. */
  get isUnanswered (): boolean {
    return this._unanswered >= UNANSWERED_PROBES
  }

  /** Whether requests with lost answers may still run on the endpoint. */
  get hasAwaited (): boolean {
    return this._awaited.size > 0
  }

  /** Has the endpoint asked at the next look, because it couldn't be reached. */
  doubt (): void {
    this._isInDoubt = true
    this.wake()
  }

  /** Has the connections watched; call when a request is sent. */
  wake (): void {
    this._woken.notify()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this._hasWork()) {
        // Thousands of idle endpoints must cost no timers.
        await this._woken.wait(this._clock, Infinity, signal)
        continue
      }
      await this._clock.sleepUntil(this._clock.now() + CHECK_INTERVAL_MILLISECONDS, signal).catch(() => {})
      if (signal.aborted) return
      const still = this._standingStill()
      if (still.length === 0 && this._awaited.size === 0 && this._unanswered === 0 && !this._isInDoubt) {
        this._misses.clear()
        continue
      }
      this._isInDoubt = false
      const health = await this._ask()
      if (health) this._compare(still, new Set(health.running))
      else this._noteUnanswered(still)
    }
  }

  /** Waits until a probe shows that the endpoint doesn't have the request any more, or until `deadline`. */
  async awaitEnd (requestId: string, deadline: number, signal: AbortSignal): Promise<void> {
    const over = new AbortController()
    const stop = (): void => over.abort()
    signal.addEventListener('abort', stop, { once: true })
    this._awaited.set(requestId, stop)
    this.wake()
    await this._clock.sleepUntil(deadline, over.signal).catch(() => {})
    this._awaited.delete(requestId)
    signal.removeEventListener('abort', stop)
  }

  private _hasWork (): boolean {
    if (this._isInDoubt || this._unanswered > 0 || this._awaited.size > 0) return true
    for (const connection of this._connections) if (connection.current) return true
    return false
  }

  private _standingStill (): EndpointConnectionTask[] {
    const before = this._clock.now() - SUSPICION_MILLISECONDS
    return [...this._connections].filter(connection => connection.current && connection.progressAt <= before)
  }

  private _compare (still: EndpointConnectionTask[], running: ReadonlySet<string>): void {
    this._unanswered = 0
    for (const [requestId, resolve] of this._awaited) if (!running.has(requestId)) resolve()
    const silent = still.filter(connection => this._isMissed(connection.current?.requestId, running))
    if (silent.length === 0) return
    for (const connection of silent) connection.declareSilent()
    for (const connection of this._connections) connection.retire()
  }

  private _isMissed (requestId: string | undefined, running: ReadonlySet<string>): boolean {
    if (requestId === undefined || running.has(requestId)) return false
    const misses = (this._misses.get(requestId) ?? 0) + 1
    this._misses.set(requestId, misses)
    return misses >= MISSED_PROBES
  }

  /**
   * A dead endpoint's repeatable requests go elsewhere. The others keep waiting until their
   * deadlines: should the endpoint come back, their answers are still worth having.
   */
  private _noteUnanswered (still: EndpointConnectionTask[]): void {
    this._unanswered += 1
    if (!this.isUnanswered) return
    for (const connection of still) if (connection.current?.isRepeatable) connection.declareLost()
  }

  private async _ask (): Promise<EndpointHealth | undefined> {
    this._metrics.count('endpoints.probes')
    const health = await this._prober.probe(this._address)
    return health.filter(({ virtualMachine }) => virtualMachine === this._virtualMachine).extract()
  }
}
