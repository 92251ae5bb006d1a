/**
 * Tasks that run on workers.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Name } from './name.js'
import { TaskSize } from './task-size.js'

/** A submitted task with the state of its execution. */
export const FleetTask = z.object({
  id: Name,
  queue: Name,
  team: Name.nullable(),
  /** Declared size; placement corrects it by the measured usage of such tasks. */
  size: TaskSize,
  /** Whether it starts before other tasks and may preempt them. */
  isUrgent: z.boolean(),
  /** What the worker runs; passed on without interpretation. */
  payload: z.string().max(4_096),
  /** Limit on one run, in milliseconds; also the duration of the run's lease. */
  timeoutMilliseconds: z.number().int().min(1_000).max(604_800_000),
  submittedAt: EpochMilliseconds,
  phase: z.enum(['waiting', 'running', 'done', 'cancelled', 'parked']),
  /** Why it is parked, or empty. */
  reason: z.string().max(256),
  worker: Name.nullable(),
  /** Offset of the placement, the fencing token against earlier runs. */
  token: z.number().int(),
  /** Latest time at which the worker stops the run; 0 while the task isn't running. */
  leaseDeadline: EpochMilliseconds,
  /** Distinct workers on which it failed. */
  failedOn: z.array(Name),
  /** Whether its submitter has cancelled it while it is running. */
  isCancelling: z.boolean()
})
export type FleetTask = z.infer<typeof FleetTask>
