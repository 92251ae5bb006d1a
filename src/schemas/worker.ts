/**
 * Workers, which run tasks under leases.
 */
import * as z from 'zod'
import { Name } from './name.js'
import { TaskSize } from './task-size.js'

/** The fields of a worker that operators register. */
export const Worker = z.object({
  id: Name,
  availabilityZone: Name,
  rack: Name,
  /** Resources available to tasks. */
  capacity: TaskSize
}).strict()
export type Worker = z.infer<typeof Worker>
