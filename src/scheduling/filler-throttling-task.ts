/**
 * Slows fillers down where they harm tasks that serve users.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledTask } from './scheduled-task.js'
import type { WorkerTable } from './worker-table.js'

/** Time between two looks, in milliseconds: workers' figures cover half a second. */
const INTERVAL_MILLISECONDS = 300

/** Share of its target from which on a serving task counts as harmed; fillers are slowed before the target is missed. */
const HARMED_SHARE = 0.85

/** Share of its target up to which fillers beside it may speed up again. */
const WELL_SHARE = 0.6

/** Step in which fillers speed up, in percent; they slow down by halves. */
const SPEED_UP_PERCENT = 10

/** Pace below which a filler stands still, in percent. */
const LEAST_PERCENT = 10

/** Limit on one order, in milliseconds. */
const PACE_TIMEOUT_MILLISECONDS = 500

/** Longest pauses after orders that failed, in milliseconds. */
const BACKOFF_MILLISECONDS = [100, 500] as const

/** Looks at each worker that has both serving tasks and fillers. */
export class FillerThrottlingTask extends Task {
  override readonly name = 'pace'
  private readonly _backoff: Backoff

  constructor (private readonly _roster: WorkerTable, private readonly _clock: Clock, random: RandomSource, private readonly _metrics: Metrics, private readonly _log: DecisionLog) {
    super()
    this._backoff = new Backoff(_clock, random, ...BACKOFF_MILLISECONDS)
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      const orders = [...this._roster.all].flatMap(worker => this._orders(worker))
      const results = await Promise.all(orders.map(({ worker, task, percent }) => this._order(worker, task, percent, signal)))
      if (results.includes(false)) await this._backoff.pause(signal)
      else this._backoff.reset()
      await this._clock.sleepUntil(now + INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private _orders (worker: FleetWorker): { worker: FleetWorker, task: ScheduledTask, percent: number }[] {
    const tasks = [...worker.tasks].filter(({ runState }) => runState === 'running')
    const fillers = tasks.filter(({ step }) => step.definition.isFiller)
    const serving = tasks.filter(({ step }) => step.definition.targetLatencyMilliseconds > 0 && !step.definition.isFiller)
    if (fillers.length === 0) return []
    const worst = Math.max(0, ...serving.map(({ load, step }) => load / step.definition.targetLatencyMilliseconds))
    return fillers.flatMap(task => {
      const percent = this._percent(task.pace, worst)
      return percent === task.pace ? [] : [{ worker, task, percent }]
    })
  }

  private _percent (present: number, worst: number): number {
    if (worst >= HARMED_SHARE) return present > LEAST_PERCENT ? Math.floor(present / 2) : 0
    if (worst <= WELL_SHARE) return Math.min(100, present + SPEED_UP_PERCENT)
    return present
  }

  private async _order (worker: FleetWorker, task: ScheduledTask, percent: number, signal: AbortSignal): Promise<boolean> {
    const { client } = worker
    if (!client) return true
    const { run } = task
    const answer = await client.throttle(task.name, run, percent, this._clock.now() + PACE_TIMEOUT_MILLISECONDS, signal)
    this._metrics.count('runs.paced', 1, answer.isRight() ? 'done' : 'failed')
    if (answer.isLeft()) return false
    if (task.run === run) task.pace = percent
    if (percent === 0 || percent === 100) this._log.emit('filler paced', { task: task.name, run, worker: worker.entry.id, percent })
    return true
  }
}
