/**
 * The configuration of a worker pool.
 */
import * as z from 'zod'

/** A pool of VMs that run workers, or of standby VMs. */
export const WorkerPool = z.object({
  name: z.string(),
  /** Whether the pool's VMs are powered off and not billed. */
  isStandby: z.boolean(),
  /** Whether workers refuse runs that exceed their capacity. */
  rejectsOverload: z.boolean()
})
export type WorkerPool = z.infer<typeof WorkerPool>
