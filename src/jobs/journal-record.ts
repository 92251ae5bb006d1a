/**
 * Records of the job journal.
 */
import * as z from 'zod'
import { JobSubmission } from './job-submission.js'
import { LeaseRenewals } from './lease-renewals.js'
import { SettledStarts } from './settled-starts.js'
import { TaskProgress } from './task-progress.js'
import { VirtualMachineOrder } from './virtual-machine-order.js'
import { WaveProgress } from './wave-progress.js'

/**
 * Each record replaces the previous one of the same object. Submissions, cancellations, disposals and ends of holders are in a topic that any process
 * may write to; all others are the owner's decisions, written in its term to another topic. The two topics have no common order.
 */
export const JournalRecord = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('submission'), submission: JobSubmission }),
  z.object({ kind: z.literal('cancellation'), job: z.string() }),
  /** Removes the job's submission and cancellation, which its outcome replaces, or the cancellation of a job that was never submitted. */
  z.object({ kind: z.literal('disposal'), job: z.string() }),
  /** The owner's cancellation decision: nothing more of the job starts. */
  z.object({ kind: z.literal('verdict'), job: z.string() }),
  z.object({ kind: z.literal('progress'), job: z.string(), occurrence: z.number().int(), step: z.number().int(), tasks: z.array(TaskProgress) }),
  /** The job has finished and nothing of it runs: its state replaces all decisions on it. */
  z.object({
    kind: z.literal('outcome'), job: z.string(), queue: z.string(), state: z.enum(['completed', 'failed', 'cancelled']), occurrences: z.number().int(), steps: z.number().int()
  }),
  /** Removes the job's outcome, which has been kept for as long as promised. */
  z.object({ kind: z.literal('retirement'), job: z.string() }),
  /**
   * A claim, a renewal or a release of ownership; `at` is in fleet time. `process` is the name of the holder's process, and `renewals` until when leases are extended, null before any are;
   * both are missing in records of older versions, which have `othersRenewUntil`, the fleet time until which owners of earlier terms may extend leases.
   */
  z.object({
    kind: z.literal('term'),
    term: z.number().int(),
    holder: z.string(),
    process: z.string().optional(),
    isReleased: z.boolean(),
    at: z.number(),
    othersRenewUntil: z.number().optional(),
    renewals: LeaseRenewals.nullable().optional()
  }),
  /** Written by the next incarnation of a process that held a term: the holder has ended. In the topic that any process may write to. */
  z.object({ kind: z.literal('holder-end'), process: z.string(), holder: z.string() }),
  z.object({ kind: z.literal('wave'), progress: WaveProgress }),
  /** An order is about to be sent to a VM; the owner of another term sends it none until some time after `at` (fleet time). */
  z.object({ kind: z.literal('order'), virtualMachine: z.string(), ...VirtualMachineOrder.shape }),
  /**
   * The owner of the term extends no lease of a worker that it can't reach: those of this incarnation have expired by `expiresAt`. Both times are in fleet time; `at` is that of the decision.
   * The worker's address, and whether it refuses connections, tell a later owner that the next worker there is its successor, unless this owner has seen it already; older versions don't write them.
   */
  z.object({
    kind: z.literal('lease-bound'),
    worker: z.string(),
    incarnation: z.number(),
    term: z.number().int(),
    at: z.number(),
    expiresAt: z.number(),
    /** The same for runs whose start is unsettled, if it is later. */
    startsExpireAt: z.number().optional(),
    address: z.string().optional(),
    refusesConnections: z.boolean().optional(),
    hasSuccessor: z.boolean().optional()
  }),
  /**
   * Leases of this incarnation may last until `expiresAt`, although no owner has asked for that: an order for the former incarnation may have reached it. Both times are in fleet time; `at` is that of
   * the decision. Written before a run that such a lease may keep is placed there.
   */
  z.object({ kind: z.literal('longest-lease'), worker: z.string(), incarnation: z.number(), at: z.number(), expiresAt: z.number() }),
  /** Such a lease has expired. */
  z.object({ kind: z.literal('longest-lease-end'), worker: z.string() }),
  /** Which starts are no longer on their way, whichever owner sent them. */
  z.object({ kind: z.literal('settled-starts'), starts: SettledStarts }),
  /** Withdraws the bound: the owner is about to extend leases of the worker, or nothing runs there any more. */
  z.object({ kind: z.literal('lease-bound-withdrawal'), worker: z.string() })
])
export type JournalRecord = z.infer<typeof JournalRecord>
