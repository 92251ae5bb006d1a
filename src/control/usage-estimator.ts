/**
 * Estimates the resources that tasks use from those they declare.
 */
import type { FleetTask } from '../schemas/fleet-task.js'
import type { TaskSize } from '../schemas/task-size.js'

/** Weight of the newest run in the moving average. */
const SMOOTHING_FACTOR = 0.2

/** Bounds of the ratio of used to declared resources. */
const MINIMUM_RATIO = 0.25
const MAXIMUM_RATIO = 8

/** Ratios of used to declared resources. */
interface UsageRatios {
  processors: number
  memory: number
}

/**
 * Corrects declared sizes by the exponential moving average of earlier runs of the same team and queue. The averages
 * aren't written to the log: a new lease holder starts from declared sizes and collects reports again.
 */
export class UsageEstimator {
  private readonly _ratios = new Map<string, UsageRatios>()

  /** Updates the average with the usage of a successful run. */
  observe (task: FleetTask, usage: TaskSize): void {
    const current = this._ratios.get(this._key(task)) ?? { processors: 1, memory: 1 }
    this._ratios.set(this._key(task), {
      processors: this._smooth(current.processors, usage.processors, task.size.processors),
      memory: this._smooth(current.memory, usage.memoryMegabytes, task.size.memoryMegabytes)
    })
  }

  /** Expected size of a task; accelerators are allocated whole and count as declared. */
  estimate (task: FleetTask): TaskSize {
    const { processors, memory } = this._ratios.get(this._key(task)) ?? { processors: 1, memory: 1 }
    return { processors: task.size.processors * processors, memoryMegabytes: task.size.memoryMegabytes * memory, accelerators: task.size.accelerators }
  }

  private _smooth (ratio: number, used: number, declared: number): number {
    if (declared <= 0) return ratio
    const observed = Math.min(MAXIMUM_RATIO, Math.max(MINIMUM_RATIO, used / declared))
    return ratio + SMOOTHING_FACTOR * (observed - ratio)
  }

  private _key (task: FleetTask): string {
    return `${task.queue}/${task.team ?? ''}`
  }
}
