/**
 * The queues of all pools at one entry process.
 */
import type { Metrics } from '../observability/metrics.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import type { LimitLedger } from './limit-ledger.js'
import { PoolQueue } from './pool-queue.js'

/** Weight of work on queues open to all. */
const OPEN_SHARE = 1

/** Makes a pool's queue when it is first needed. */
export class PoolQueues {
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
    const created = new PoolQueue(pool, this._clock, this._ledger, team => this.share(team), this._metrics)
    this._queues.set(pool, created)
    return created
  }

  /** All queues that have been needed. */
  all (): PoolQueue[] {
    return [...this._queues.values()]
  }

  /** The share of a team that is in force. */
  share (team: string | null): number {
    return team === null ? OPEN_SHARE : this._keeper.state.share(team)
  }
}
