/**
 * Submissions of tasks.
 */
import { FleetTask } from './fleet-task.js'

/** The fields of a task that its submitter sets. */
export const TaskSubmission = FleetTask.pick({ id: true, size: true }).extend({
  isUrgent: FleetTask.shape.isUrgent.default(false),
  payload: FleetTask.shape.payload.default(''),
  timeoutMilliseconds: FleetTask.shape.timeoutMilliseconds.default(3_600_000)
}).strict()
export type TaskSubmission = ReturnType<typeof TaskSubmission.parse>
