/**
 * Commands about tasks on workers. One record holds a batch for many tasks.
 */
import * as z from 'zod'
import { EpochMilliseconds } from './epoch-milliseconds.js'
import { FleetTask } from './fleet-task.js'
import { LeaseProof } from './lease-proof.js'
import { Name } from './name.js'
import { TaskSubmission } from './task-submission.js'

/** Maximum number of tasks in one record. */
const MAXIMUM_BATCH_TASKS = 1_024

const ids = z.array(Name).min(1).max(MAXIMUM_BATCH_TASKS)

/** Submits, cancels, places, ends or parks tasks, or releases a worker from quarantine. */
export const TaskCommand = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('submit-tasks'), queue: Name, team: Name.nullable(), tasks: z.array(TaskSubmission).min(1).max(MAXIMUM_BATCH_TASKS) }),
  z.object({ kind: z.literal('cancel-tasks'), queue: Name, team: Name.nullable(), ids }),
  z.object({
    kind: z.literal('place-tasks'),
    placements: z.array(z.object({ task: Name, worker: Name, leaseDeadline: EpochMilliseconds })).min(1).max(MAXIMUM_BATCH_TASKS),
    proof: LeaseProof
  }),
  z.object({
    kind: z.literal('end-tasks'),
    ends: z.array(z.object({
      task: Name,
      token: FleetTask.shape.token,
      /** `stopped`: stopped after a checkpoint, or lost when its lease expired; the task waits again unless it was cancelled. */
      result: z.enum(['done', 'failed', 'stopped'])
    })).min(1).max(MAXIMUM_BATCH_TASKS),
    proof: LeaseProof
  }),
  z.object({ kind: z.literal('park-tasks'), ids, reason: FleetTask.shape.reason, proof: LeaseProof }),
  z.object({ kind: z.literal('release-worker'), worker: Name, expectedVersion: z.number().int().min(0) })
])
export type TaskCommand = z.infer<typeof TaskCommand>
