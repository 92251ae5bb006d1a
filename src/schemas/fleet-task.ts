/**
 * A task: a job on a worker.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { Name } from './name.js'
import { TaskSize } from './task-size.js'

/** A task and how far it has come. */
export const FleetTask = z.object({
  id: Name,
  queue: Name,
  team: Name.nullable(),
  /** Size as declared; placement corrects it by what such tasks use. */
  size: TaskSize,
  /** Whether it starts before others, if need be at their cost. */
  isUrgent: z.boolean(),
  /** What the worker runs; passed on unread. */
  payload: z.string().max(4_096),
  /** Longest time that one run may take, in milliseconds; the lease of a run. */
  timeoutMilliseconds: z.number().int().min(1_000).max(604_800_000),
  submittedAt: EpochMilliseconds,
  phase: z.enum(['waiting', 'running', 'done', 'cancelled', 'parked']),
  /** Why it is parked, or empty. */
  reason: z.string().max(256),
  worker: Name.nullable(),
  /** Offset of the placement; fences off earlier runs. */
  token: z.number().int(),
  /** When the worker has stopped the run at the latest; 0 while it doesn't run. */
  leaseDeadline: EpochMilliseconds,
  /** Distinct workers on which it failed. */
  failedOn: z.array(Name),
  /** Whether its submitter has cancelled the run under way. */
  isCancelling: z.boolean()
})
export type FleetTask = z.infer<typeof FleetTask>
