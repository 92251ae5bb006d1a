/**
 * Registry entry of a worker.
 */
import * as z from 'zod'
import { Resources } from '../jobs/resources.js'

/** The newest entry of a worker, written by the worker itself. */
export const WorkerEntry = z.object({
  id: z.string(),
  /** Epoch milliseconds of the start of the worker process. A restarted worker has a higher number and none of the earlier runs. */
  incarnation: z.number(),
  pool: z.string(),
  /** IP address and port. */
  address: z.string(),
  availabilityZone: z.string(),
  capacity: Resources,
  /** The kind of VM, then the rack. */
  labels: z.array(z.string()),
  /** Whether the worker has begun to shut down. */
  isDraining: z.boolean()
})
export type WorkerEntry = z.infer<typeof WorkerEntry>
