/**
 * An unplanned end of a worker, as the attribution of losses sees it.
 */
import * as z from 'zod'

export const WorkerLoss = z.object({
  at: z.number(),
  virtualMachine: z.string(),
  availabilityZone: z.string(),
  /** Rack of the VM; empty if unknown. */
  rack: z.string(),
  /** Kinds of the tasks that may have caused the end, by being started shortly before. */
  suspects: z.array(z.string())
})
export type WorkerLoss = z.infer<typeof WorkerLoss>
