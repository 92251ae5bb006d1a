/**
 * The request queues of all pools at one entry process.
 */
import type { Metrics } from '../observability/metrics.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { LimitLedger } from './limit-ledger.js'
import { PoolQueue } from './pool-queue.js'

/** Weight of requests on queues that are open to all. */
const OPEN_QUEUE_SHARE = 1

/** Poll interval while no request waits, runs or arrives. */
const IDLE_POLL_INTERVAL_MILLISECONDS = 1_000

/** Creates each pool's queue when it is first used. */
export class PoolQueues {
  /** Notified when a request arrives. */
  readonly arrived = new Notifier()
  private readonly _queues = new Map<string, PoolQueue>()

  constructor (
    private readonly _keeper: StateKeeper,
    private readonly _ledger: LimitLedger,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {}

  /** Returns the queue of a pool, and creates it if necessary. */
  get (pool: string): PoolQueue {
    const existing = this._queues.get(pool)
    if (existing) return existing
    const created = new PoolQueue(pool, this._clock, this._ledger, team => this.share(team), () => this.arrived.notify(), this._metrics)
    this._queues.set(pool, created)
    return created
  }

  /** Returns all queues that have been created. */
  all (): PoolQueue[] {
    return [...this._queues.values()]
  }

  /**
   * Waits until the queues should be polled again: for `milliseconds` while requests wait
   * or run, otherwise until one arrives or the longer idle interval has passed, so that an
   * idle process uses little CPU time.
   */
  async waitForNextPoll (milliseconds: number, signal: AbortSignal): Promise<void> {
    const now = this._clock.now()
    if (this.all().some(queue => queue.running + queue.waiting > 0)) await this._clock.sleepUntil(now + milliseconds, signal).catch(() => {})
    else await this.arrived.wait(this._clock, now + IDLE_POLL_INTERVAL_MILLISECONDS, signal)
  }

  /** Returns the share of a team that is in force. */
  share (team: string | null): number {
    return team === null ? OPEN_QUEUE_SHARE : this._keeper.state.share(team)
  }
}
