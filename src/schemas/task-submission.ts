/**
 * What a submitter says of a task.
 */
import { FleetTask } from './fleet-task.js'

/** The part of a task that its submitter gives. */
export const TaskSubmission = FleetTask.pick({ id: true, size: true }).extend({
  isUrgent: FleetTask.shape.isUrgent.default(false),
  payload: FleetTask.shape.payload.default(''),
  timeoutMilliseconds: FleetTask.shape.timeoutMilliseconds.default(3_600_000)
}).strict()
export type TaskSubmission = ReturnType<typeof TaskSubmission.parse>
