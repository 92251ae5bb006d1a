/**
 * Throttling of fillers that slow down tasks which serve users.
 */
import type { DecisionLog } from '../observability/decision-log.js'
import type { Metrics } from '../observability/metrics.js'
import { Backoff } from '../supervision/backoff.js'
import type { Clock } from '../supervision/clock.js'
import type { RandomSource } from '../supervision/random-source.js'
import { Task } from '../supervision/task.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledTask } from './scheduled-task.js'
import type { WorkerTable } from '../workers/worker-table.js'

/** Below the half second over which workers measure the load that they report. */
const POLL_INTERVAL_MILLISECONDS = 300

/** Ratio of latency to target from which fillers are slowed down: below 1, so that they slow down before the target is missed. */
const SLOW_DOWN_LATENCY_RATIO = 0.85

/** Ratio of latency to target up to which fillers speed up again. */
const SPEED_UP_LATENCY_RATIO = 0.6

/** Percentage points by which fillers speed up in one step; they slow down by half. */
const SPEED_UP_STEP_PERCENT = 10

/** A filler at or below this speed is paused when it has to slow down further. */
const PAUSE_THRESHOLD_PERCENT = 10

const THROTTLE_TIMEOUT_MILLISECONDS = 500

/** Base and ceiling of the backoff after failed orders. */
const BACKOFF_MILLISECONDS = [100, 500] as const

/** Adjusts the speed of the fillers on each worker to the latency of the serving tasks beside them. */
export class FillerThrottlingTask extends Task {
  override readonly name = 'pace'
  private readonly _backoff: Backoff

  constructor (private readonly _workers: WorkerTable, private readonly _clock: Clock, random: RandomSource, private readonly _metrics: Metrics, private readonly _log: DecisionLog) {
    super()
    this._backoff = new Backoff(_clock, random, ...BACKOFF_MILLISECONDS)
  }

  override async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const now = this._clock.now()
      const changes = [...this._workers.all].flatMap(worker => this._speedChanges(worker))
      const results = await Promise.all(changes.map(({ worker, task, targetPercent }) => this._throttle(worker, task, targetPercent, signal)))
      if (results.includes(false)) await this._backoff.pause(signal)
      else this._backoff.reset()
      await this._clock.sleepUntil(now + POLL_INTERVAL_MILLISECONDS, signal).catch(() => {})
    }
  }

  private _speedChanges (worker: FleetWorker): { worker: FleetWorker, task: ScheduledTask, targetPercent: number }[] {
    const tasks = [...worker.tasks].filter(({ runState }) => runState === 'running')
    const fillers = tasks.filter(({ step }) => step.definition.isFiller)
    const serving = tasks.filter(({ step }) => step.definition.targetLatencyMilliseconds > 0 && !step.definition.isFiller)
    if (fillers.length === 0) return []
    const worstRatio = Math.max(0, ...serving.map(({ load, step }) => load / step.definition.targetLatencyMilliseconds))
    return fillers.flatMap(task => {
      const targetPercent = serving.length === 0 && task.speedPercent === null ? 100 : this._nextSpeedPercent(task, worstRatio)
      return targetPercent === null || targetPercent === task.speedPercent ? [] : [{ worker, task, targetPercent }]
    })
  }

  /** Returns the speed that the task should have next; null if it may keep its own, whatever that is. */
  private _nextSpeedPercent (task: ScheduledTask, worstRatio: number): number | null {
    const current = task.speedPercent ?? this._leastSpeedPercent(task)
    if (worstRatio >= SLOW_DOWN_LATENCY_RATIO) return current > PAUSE_THRESHOLD_PERCENT ? Math.floor(current / 2) : 0
    if (worstRatio <= SPEED_UP_LATENCY_RATIO) return Math.min(100, current + SPEED_UP_STEP_PERCENT)
    return task.speedPercent
  }

  /** Returns the lowest speed that the use of processors allows for: a task may use less than its speed lets it, but not more. */
  private _leastSpeedPercent ({ load, step }: ScheduledTask): number {
    return Math.max(0, Math.min(100, Math.floor(100 * load / Math.max(1, step.definition.demand.millicores))))
  }

  private async _throttle (worker: FleetWorker, task: ScheduledTask, targetPercent: number, signal: AbortSignal): Promise<boolean> {
    const { client } = worker
    if (!client) return true
    const { run } = task
    const response = await client.throttle(task.name, run, targetPercent, this._clock.now() + THROTTLE_TIMEOUT_MILLISECONDS, signal)
    this._metrics.count('runs.paced', 1, response.isRight() ? 'done' : 'failed')
    // An order that failed may have been carried out.
    if (task.run === run) task.speedPercent = response.isRight() ? targetPercent : null
    if (response.isLeft()) return false
    if (targetPercent === 0 || targetPercent === 100) this._log.emit('filler speed changed', { task: task.name, run, worker: worker.entry.id, percent: targetPercent })
    return true
  }
}
