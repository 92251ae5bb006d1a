/**
 * How long recent runs took for their estimates.
 */
import { median } from '../jobs/median.js'
import type { ScheduledStep } from '../scheduling/scheduled-step.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'

/** Number of completed runs from which on their median counts. */
const MINIMUM_RUNS = 3

/** Number of runs of a step or of a queue that are remembered. */
const MAXIMUM_RUNS = 64

/** The ratios of recent runs, with their median once there are enough of them. The median is computed when a run is recorded, since it is read far more often. */
interface RecentRatios {
  readonly ratios: readonly number[]
  readonly median: number | null
}

/** Keeps the ratios of duration to estimate of completed runs, by step and by queue, in this owner's memory. Only steps that allow copies are measured. */
export class RunDurations {
  private readonly _ratiosByStep = new WeakMap<ScheduledStep, RecentRatios>()
  private readonly _ratiosByQueue = new Map<string, RecentRatios>()

  /** Records a run that has just completed its task. The duration of one that another owner started, that continued from a checkpoint, or that depended on others or was throttled, says nothing. */
  record ({ step, run, startToken, confirmedAt }: ScheduledTask, now: number): void {
    const { isSpeculative, isGang, isFiller, savesProgress, estimateMilliseconds } = step.definition
    if (!isSpeculative || isGang || isFiller || (savesProgress && run > 1) || startToken === Infinity || confirmedAt > now || estimateMilliseconds <= 0) return
    const ratio = (now - confirmedAt) / estimateMilliseconds
    const { queue } = step.job.view.submission
    this._ratiosByStep.set(step, this._append(this._ratiosByStep.get(step), ratio))
    this._ratiosByQueue.set(queue, this._append(this._ratiosByQueue.get(queue), ratio))
  }

  /** Returns the time that a task of a step can be expected to take, in milliseconds; null while too few runs of the step and of its queue have completed. */
  expectedMilliseconds (step: ScheduledStep): number | null {
    const ratio = this._ratiosByStep.get(step)?.median ?? this._ratiosByQueue.get(step.job.view.submission.queue)?.median ?? null
    return ratio === null ? null : step.definition.estimateMilliseconds * ratio
  }

  private _append (recent: RecentRatios | undefined, ratio: number): RecentRatios {
    const ratios = [...recent?.ratios ?? [], ratio].slice(-MAXIMUM_RUNS)
    return { ratios, median: ratios.length >= MINIMUM_RUNS ? median(ratios) : null }
  }
}
