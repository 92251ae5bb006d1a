/**
 * Reports the levels of an entry process.
 */
import type { Metrics } from '../observability/metrics.js'
import type { StateKeeper } from '../state/state-keeper.js'
import type { Clock } from '../supervision/clock.js'
import { Task } from '../supervision/task.js'
import type { LimitLedger } from './limit-ledger.js'
import type { PoolQueues } from './pool-queues.js'

/** How often levels are reported, in milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 1_000

/** Gauges of what waits, runs and is held. */
export class GaugeReportTask extends Task {
  override readonly name = 'level-report'

  constructor (
    private readonly _queues: PoolQueues,
    private readonly _ledger: LimitLedger,
    private readonly _keeper: StateKeeper,
    private readonly _clock: Clock,
    private readonly _metrics: Metrics
  ) {
    super()
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const queue of this._queues.all()) {
        this._metrics.setGauge('requests.waiting.level', queue.waiting, queue.pool)
        this._metrics.setGauge('requests.running.level', queue.running, queue.pool)
      }
      for (const team of this._keeper.state.teams.keys()) this._metrics.setGauge('grants.units.level', this._ledger.held(team), team)
      await this._clock.sleepUntil(this._clock.now() + REPORT_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }
}
