/**
 * The health of a worker as placement sees it.
 */
import * as z from 'zod'

/** What the policy has decided about a VM and its present worker. */
export const WorkerHealth = z.object({
  /** `probation`: few tasks, none of them lasting, and only if no trusted worker has room; `excluded`: nothing new, except lasting tasks that are overdue. */
  state: z.enum(['trusted', 'probation', 'excluded']),
  /** Epoch milliseconds at which the state began. */
  since: z.number(),
  /** Epoch milliseconds at which an exclusion or a probation ends by itself; Infinity for a trusted worker. */
  until: z.number(),
  /** Outcomes that caused the last exclusion. */
  reason: z.enum(['none', 'failures', 'losses', 'unanswered']),
  /** Number of exclusions that followed each other closely; each lasts longer than the one before. */
  exclusions: z.number().int().min(0),
  /** Whether other workers of the pool get tasks first, because its runs take long for their estimates. */
  isSlow: z.boolean()
})
export type WorkerHealth = z.infer<typeof WorkerHealth>
