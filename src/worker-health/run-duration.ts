/**
 * Measurement of how long a run took for its estimate.
 */
import type { ScheduledTask } from '../scheduling/scheduled-task.js'

/** Shortest estimate that is compared with a duration, in milliseconds: shorter ones are dominated by the delay of reports. */
const MINIMUM_ESTIMATE_MILLISECONDS = 500

/** Longest time since the report before, in milliseconds: after a longer one the completion may have waited for a connection. Twice as long as a worker may delay its response. */
const MAXIMUM_REPORT_GAP_MILLISECONDS = 2_000

/**
 * Returns the ratio of the duration of a task's present run, done by `now`, to its estimate; 0 if it says nothing of the worker's speed: the run was started by another owner, continued
 * from a checkpoint, depended on others or was throttled, or the report was late.
 *
 * @param heardAt epoch milliseconds of the worker's report before the one with the completion.
 */
export function durationRatio (task: ScheduledTask, heardAt: number, now: number): number {
  const { estimateMilliseconds, savesProgress, isGang, isFiller, isLasting } = task.step.definition
  const isComparable = !isGang && !isFiller && !isLasting && !(savesProgress && task.run > 1) && estimateMilliseconds >= MINIMUM_ESTIMATE_MILLISECONDS
  const isMeasured = task.startOrderedAt > 0 && task.startToken !== Infinity && heardAt >= now - MAXIMUM_REPORT_GAP_MILLISECONDS
  return isComparable && isMeasured ? (now - task.startOrderedAt) / estimateMilliseconds : 0
}
