/**
 * The outcomes by which the health of a worker is decided.
 */
import * as z from 'zod'

/** Epoch milliseconds of events of one kind. */
const Moments = z.array(z.number())

/** Recent outcomes of the runs on one VM; those that have another cause than the VM are left out. */
export const HealthEvidence = z.object({
  /** Last failure of each task that failed because of the VM, with the time at which that run was started. */
  failures: z.array(z.object({ at: z.number(), startedAt: z.number() })),
  /** Runs that were done, by the time of their completion. */
  done: Moments,
  /** Unplanned ends of the VM's workers that took runs along and that other VMs didn't share. */
  losses: Moments,
  /** Starts without a response although the worker reported meanwhile. */
  unanswered: Moments,
  /** Starts that were accepted. */
  answered: Moments,
  /** Fraction of the runs on the other VMs of the pool that failed, whatever the cause. */
  poolFailureRate: z.number().min(0).max(1),
  /** Median ratio of the duration of its runs to their estimates, divided by that of the pool; 0 if either is unknown. */
  slowdown: z.number().min(0)
})
export type HealthEvidence = z.infer<typeof HealthEvidence>
