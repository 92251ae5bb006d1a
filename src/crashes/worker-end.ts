/**
 * The end of a worker, as the decisions on crashes see it.
 */
import * as z from 'zod'

/** An unplanned end of one incarnation of a worker, or the silence of one that may have ended. */
export const WorkerEnd = z.object({
  worker: z.string(),
  incarnation: z.number(),
  pool: z.string(),
  /** Empty if unknown. */
  rack: z.string(),
  availabilityZone: z.string(),
  /** Epoch milliseconds between which the worker ended. */
  earliestAt: z.number(),
  latestAt: z.number(),
  /** Whether the call that was under way broke off and further ones were refused: its process ended while its VM went on. Others give no response, as after a loss of power. */
  isAbrupt: z.boolean(),
  /** Epoch milliseconds of the starts of its runs that were on trial. */
  trialStarts: z.array(z.number())
})
export type WorkerEnd = z.infer<typeof WorkerEnd>
