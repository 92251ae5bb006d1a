/**
 * Reading of a worker's clock.
 */
import * as z from 'zod'

/**
 * Limits of the time, in milliseconds, that the steady clock of one incarnation of a worker showed when the record with the reading was written. Workers outlive owners: from a later
 * reading, another owner learns how much time has passed since, even if its process has only just started.
 */
export const WorkerClock = z.object({ worker: z.string(), incarnation: z.number(), earliest: z.number(), latest: z.number() })
export type WorkerClock = z.infer<typeof WorkerClock>
