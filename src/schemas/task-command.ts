/**
 * Commands about tasks on workers; batched, one record for many tasks.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { FleetTask } from './fleet-task.js'
import { LeaseProof } from './lease-proof.js'
import { Name } from './name.js'
import { TaskSubmission } from './task-submission.js'

/** Most tasks in one record. */
const MAXIMUM_BATCH = 1_024

const ids = z.array(Name).min(1).max(MAXIMUM_BATCH)

/** Submits, cancels, places, ends or parks tasks, or judges a worker. */
export const TaskCommand = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('submit-tasks'), queue: Name, team: Name.nullable(), tasks: z.array(TaskSubmission).min(1).max(MAXIMUM_BATCH) }),
  z.object({ kind: z.literal('cancel-tasks'), queue: Name, team: Name.nullable(), ids }),
  z.object({
    kind: z.literal('place-tasks'),
    placements: z.array(z.object({ task: Name, worker: Name, leaseDeadline: EpochMilliseconds })).min(1).max(MAXIMUM_BATCH),
    proof: LeaseProof
  }),
  z.object({
    kind: z.literal('end-tasks'),
    ends: z.array(z.object({
      task: Name,
      token: FleetTask.shape.token,
      /** `stopped`: checkpointed or lost with its lease; it waits again unless it was cancelled. */
      result: z.enum(['done', 'failed', 'stopped'])
    })).min(1).max(MAXIMUM_BATCH),
    proof: LeaseProof
  }),
  z.object({ kind: z.literal('park-tasks'), ids, reason: FleetTask.shape.reason, proof: LeaseProof }),
  z.object({ kind: z.literal('release-worker'), worker: Name, expectedVersion: z.number().int().min(0) })
])
export type TaskCommand = z.infer<typeof TaskCommand>
