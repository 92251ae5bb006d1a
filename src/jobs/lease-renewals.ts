/**
 * Until when an owner extends leases.
 */
import * as z from 'zod'
import { WorkerClock } from './worker-clock.js'

/**
 * What the owner of a term has written about the leases that it extends. Owners of later terms copy it into their records until they extend leases themselves. All times
 * are in its writer's fleet time.
 */
export const LeaseRenewals = z.object({
  term: z.number().int(),
  /** Name of the incarnation of the process that holds the term. */
  holder: z.string(),
  /** Name of that process; empty if unknown. */
  process: z.string(),
  /** Time of writing. */
  at: z.number(),
  /** End of the period in which the owner extends leases without writing again. */
  until: z.number(),
  /** It may begin again once `resumesWith` of the workers in `workerClocks` have responded to calls made after `resumesAfter`, and goes on until `resumesUntil`. */
  resumesAfter: z.number(),
  resumesUntil: z.number(),
  /** Missing in records of older versions, whose owners need more than half of the workers. */
  resumesWith: z.number().int().optional(),
  /** End of the period in which owners of earlier terms may extend leases. */
  othersUntil: z.number(),
  workerClocks: z.array(WorkerClock)
})
export type LeaseRenewals = z.infer<typeof LeaseRenewals>
