/**
 * What the platform reports of a worker; it lags.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { FleetTask } from './fleet-task.js'
import { Name } from './name.js'
import { TaskSize } from './task-size.js'

/** The runs that a worker has or has lately ended. */
export const WorkerUsageReport = z.object({
  worker: Name,
  asOf: EpochMilliseconds,
  runs: z.array(z.object({
    task: Name,
    token: FleetTask.shape.token,
    state: z.enum(['running', 'done', 'failed', 'stopped']),
    /** Most that the run has used so far. */
    usage: TaskSize
  }))
})
export type WorkerUsageReport = z.infer<typeof WorkerUsageReport>
