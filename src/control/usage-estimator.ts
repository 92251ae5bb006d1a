/**
 * What tasks really use, against what they declare.
 */
import type { FleetTask } from '../schemas/fleet-task.js'
import type { TaskSize } from '../schemas/task-size.js'

/** Weight of a newly ended run. */
const SMOOTHING = 0.2

/** Bounds of the correction of declared sizes. */
const SMALLEST_RATIO = 0.25
const LARGEST_RATIO = 8

/** Ratios of use to declaration. */
interface Ratios {
  processors: number
  memory: number
}

/**
 * Corrects declared sizes by the runs of the same team and queue. It is not agreed in the
 * log: a new holder of the work learns it anew from reports, and starts from declarations.
 */
export class UsageBook {
  private readonly _ratios = new Map<string, Ratios>()

  /** Learns from a run that ended well. */
  learn (task: FleetTask, usage: TaskSize): void {
    const present = this._ratios.get(this._key(task)) ?? { processors: 1, memory: 1 }
    this._ratios.set(this._key(task), {
      processors: this._step(present.processors, usage.processors, task.size.processors),
      memory: this._step(present.memory, usage.memoryMegabytes, task.size.memoryMegabytes)
    })
  }

  /** The size to reckon with; accelerators are whole and taken as declared. */
  expected (task: FleetTask): TaskSize {
    const { processors, memory } = this._ratios.get(this._key(task)) ?? { processors: 1, memory: 1 }
    return { processors: task.size.processors * processors, memoryMegabytes: task.size.memoryMegabytes * memory, accelerators: task.size.accelerators }
  }

  private _step (ratio: number, used: number, declared: number): number {
    if (declared <= 0) return ratio
    const seen = Math.min(LARGEST_RATIO, Math.max(SMALLEST_RATIO, used / declared))
    return ratio + SMOOTHING * (seen - ratio)
  }

  private _key (task: FleetTask): string {
    return `${task.queue}/${task.team ?? ''}`
  }
}
