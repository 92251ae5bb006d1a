/**
 * Whether work can still be of use to its caller.
 */
import type { JobQueue } from '../configuration/job-queue.js'
import { JobAllowance } from '../jobs/job-allowance.js'
import type { ScheduledStep } from './scheduled-step.js'

/** `on-time`: the job can still meet its queue's target; `late`: it can't, but its result is still of use; `obsolete`: it isn't any more. Jobs of queues without a target are always on time. */
type WorkUsefulness = 'on-time' | 'late' | 'obsolete'

/** Returns how useful the result of a step's job can be if the rest of the job begins now and isn't held up. */
export function workUsefulness (step: ScheduledStep, queue: JobQueue, now: number): WorkUsefulness {
  const { job, occurrence, definition } = step
  if (definition.isLasting || !JobAllowance.hasTarget(queue)) return 'on-time'
  const earliestCompletionAt = now + job.criticalPathMilliseconds(step)
  if (earliestCompletionAt <= job.targetCompletionAt(occurrence, queue)) return 'on-time'
  return earliestCompletionAt <= job.obsoleteAt(occurrence, queue) ? 'late' : 'obsolete'
}
