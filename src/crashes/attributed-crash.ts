/**
 * A crash as attributed to a task.
 */
import type { RunCrash } from '../jobs/run-crash.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'

/** A task with the part that its current run may have had in the crash of its worker. */
export interface AttributedCrash extends RunCrash {
  readonly task: ScheduledTask
}
