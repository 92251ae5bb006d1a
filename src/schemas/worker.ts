/**
 * A worker: a machine that runs tasks under leases.
 */
import * as z from 'zod'
import { Name } from './name.js'
import { TaskSize } from './task-size.js'

/** What operators register of a worker. */
export const Worker = z.object({
  id: Name,
  availabilityZone: Name,
  rack: Name,
  /** What it has for tasks. */
  capacity: TaskSize
}).strict()
export type Worker = z.infer<typeof Worker>
