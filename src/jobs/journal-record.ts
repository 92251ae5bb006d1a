/**
 * Records of the job journal.
 */
import * as z from 'zod'
import { JobSubmission } from './job-submission.js'
import { TaskProgress } from './task-progress.js'
import { WaveProgress } from './wave-progress.js'

/**
 * Each record replaces the one before it of the same object. Submissions, cancellations and disposals are in a topic of their own that
 * any process writes; all others are the owner's decisions, written under its term. The two have no common order.
 */
export const JournalRecord = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('submission'), submission: JobSubmission }),
  z.object({ kind: z.literal('cancellation'), job: z.string() }),
  /** The submission's and the cancellation's records are dropped: the owner's outcome says all. */
  z.object({ kind: z.literal('disposal'), job: z.string() }),
  /** The owner has taken a cancellation in: nothing more of the job starts. */
  z.object({ kind: z.literal('verdict'), job: z.string() }),
  z.object({ kind: z.literal('progress'), job: z.string(), occurrence: z.number().int(), step: z.number().int(), tasks: z.array(TaskProgress) }),
  /** The job is over and nothing of it runs: its state takes the place of all decisions on it. */
  z.object({
    kind: z.literal('outcome'), job: z.string(), queue: z.string(), state: z.enum(['completed', 'failed', 'cancelled']), occurrences: z.number().int(), steps: z.number().int()
  }),
  /** The job is forgotten: its state has been kept for as long as promised. */
  z.object({ kind: z.literal('retirement'), job: z.string() }),
  /** A claim, a sign of life, or a release of ownership, with the writer's epoch milliseconds. */
  z.object({ kind: z.literal('term'), term: z.number().int(), holder: z.string(), isReleased: z.boolean(), at: z.number() }),
  z.object({ kind: z.literal('wave'), progress: WaveProgress }),
  /** A VM is about to be ordered about, at an epoch millisecond: another holder leaves it alone for a while. */
  z.object({ kind: z.literal('order'), virtualMachine: z.string(), term: z.number().int(), at: z.number() })
])
export type JournalRecord = z.infer<typeof JournalRecord>
