/**
 * Report on a placement round.
 */
import type { Metrics } from '../observability/metrics.js'
import type { RunLogTask } from '../runs/run-log-task.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { RankedStep } from './ranked-step.js'

/** Collects the placements of a round, and logs and counts them at its end. */
export class RoundReport {
  private readonly _tasksByStep = new Map<RankedStep, ScheduledTask[]>()

  /** @param _steps waiting steps, in the order of placement. */
  constructor (private readonly _steps: readonly RankedStep[], private readonly _now: number) {}

  /** Adds placed tasks of a step. */
  add (step: RankedStep, tasks: readonly ScheduledTask[]): void {
    const others = this._tasksByStep.get(step)
    if (others) others.push(...tasks)
    else this._tasksByStep.set(step, [...tasks])
  }

  /** Records the placed steps, in the order of placement. */
  log (runLog: RunLogTask, configurationVersion: number): void {
    if (this._tasksByStep.size === 0) return
    const positions = new Map<string, number>()
    for (const step of this._steps) {
      const position = (positions.get(step.pool) ?? 0) + 1
      positions.set(step.pool, position)
      const tasks = this._tasksByStep.get(step)
      if (tasks) runLog.placed(step, position, tasks, configurationVersion, this._now)
    }
  }

  /** Counts the placed tasks, their steps by usefulness, and the longest wait in each pool of steps that don't last. */
  count (metrics: Metrics): void {
    for (const [{ usefulness }, tasks] of this._tasksByStep) {
      metrics.count('placement.steps', 1, usefulness)
      metrics.count('placement.placed', tasks.length)
    }
    const longestWaits = new Map<string, number>()
    for (const { pool, isLasting, requestedAt } of this._steps) if (!isLasting) longestWaits.set(pool, Math.max(longestWaits.get(pool) ?? 0, this._now - requestedAt))
    for (const [pool, wait] of longestWaits) metrics.timing('placement.longest_wait.milliseconds', wait, pool)
  }
}
