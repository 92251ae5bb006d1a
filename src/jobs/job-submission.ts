/**
 * Submission of a job, as stored in the journal.
 */
import * as z from 'zod'
import { JobQueue } from '../configuration/job-queue.js'
import { listOf } from '../schemas/list-of.js'
import { StepDefinition } from './step-definition.js'

/** Written to the journal before the caller's request is answered. Compiled, because every process reads all of them. */
export const JobSubmission = z.compile(z.object({
  /** Chosen by the caller; a submission with a known ID is the same job. */
  id: z.string().min(1).max(64),
  queue: z.string(),
  /** The queue as it was when the job was accepted: what the job needs to be run to its end if operators remove the queue. Records of older versions have none. */
  queueAtSubmission: JobQueue.optional(),
  /** Team of the caller's key; empty without a team's key on a queue that is open to all. */
  team: z.string(),
  /** Opaque instructions for the tasks. */
  specification: z.string(),
  steps: listOf(StepDefinition).refine(steps => steps.length > 0, 'must not be empty'),
  occurrences: z.number().int().min(1).max(1_000),
  /** Fleet time at which occurrence 0 is due, negative for a time of day before its origin; 0 for immediately. */
  startAt: z.number(),
  /** Time between the due times of two consecutive occurrences, in milliseconds. */
  intervalMilliseconds: z.number().min(0),
  /** Fleet time at which the entry process accepted it. */
  submittedAt: z.number(),
  /** The same as a time of day, in epoch milliseconds. Records of older versions have none. */
  submittedAtTimeOfDay: z.number().optional()
}))
export type JobSubmission = z.infer<typeof JobSubmission>
