/**
 * The platform's report of the runs on a worker, which may be out of date.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { FleetTask } from './fleet-task.js'
import { Name } from './name.js'
import { TaskSize } from './task-size.js'

/** Active and recently ended runs of a worker with their resource usage. */
export const WorkerUsageReport = z.object({
  worker: Name,
  /** Time at which the report was accurate. */
  asOf: EpochMilliseconds,
  runs: z.array(z.object({
    task: Name,
    token: FleetTask.shape.token,
    state: z.enum(['running', 'done', 'failed', 'stopped']),
    /** Peak usage of the run so far. */
    usage: TaskSize
  }))
})
export type WorkerUsageReport = z.infer<typeof WorkerUsageReport>
