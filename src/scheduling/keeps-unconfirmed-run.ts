/**
 * What becomes of a run whose start got no response.
 */
import type { ScheduledTask } from './scheduled-task.js'

/**
 * Returns whether the current run of a task, whose start got no response, goes on if its worker reports it, instead of being stopped. A stop would end a task at work, whatever the disruption
 * budget of its step: the starts of all tasks of a step are often sent, and delayed, together. The fencing token must have been raised, so that a report shows that the run can't begin any more.
 */
export function keepsUnconfirmedRun ({ step: { definition }, isStopOrdered, startToken, worker }: ScheduledTask): boolean {
  const token = worker?.client?.fence.token ?? 0
  return definition.isLasting && !definition.isGang && !isStopOrdered && token > startToken
}
