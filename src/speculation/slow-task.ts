/**
 * A task that may get a copy, as the schedule has it.
 */
import type { JobQueue } from '../configuration/job-queue.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { CopyCandidate } from './copy-candidate.js'

/** A candidate with its task and the queue of its job. */
export interface SlowTask extends CopyCandidate {
  readonly task: ScheduledTask
  readonly queue: JobQueue
}
