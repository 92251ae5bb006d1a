/**
 * The queues of all pools at one entry process.
 */
import type { Metrics } from '../observability/metrics.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import { Notifier } from '../supervision/notifier.js'
import type { LimitLedger } from './limit-ledger.js'
import { PoolQueue } from './pool-queue.js'

/** Weight of work on queues open to all. */
const OPEN_SHARE = 1

/** Time between two looks while nothing arrives, in milliseconds. */
const IDLE_LOOK_MILLISECONDS = 1_000

/** Makes a pool's queue when it is first needed. */
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

  /** The queue of a pool. */
  get (pool: string): PoolQueue {
    const present = this._queues.get(pool)
    if (present) return present
    const created = new PoolQueue(pool, this._clock, this._ledger, team => this.share(team), () => this.arrived.notify(), this._metrics)
    this._queues.set(pool, created)
    return created
  }

  /** All queues that have been needed. */
  all (): PoolQueue[] {
    return [...this._queues.values()]
  }

  /**
   * Waits between two looks at the queues: `milliseconds` while there is work, else until
   * some arrives, so that an idle process costs next to nothing.
   */
  async pause (milliseconds: number, signal: AbortSignal): Promise<void> {
    const now = this._clock.now()
    if (this.all().some(queue => queue.running + queue.waiting > 0)) await this._clock.sleepUntil(now + milliseconds, signal).catch(() => {})
    else await this.arrived.wait(this._clock, now + IDLE_LOOK_MILLISECONDS, signal)
  }

  /** The share of a team that is in force. */
  share (team: string | null): number {
    return team === null ? OPEN_SHARE : this._keeper.state.share(team)
  }
}
