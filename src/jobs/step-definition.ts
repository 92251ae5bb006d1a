/**
 * A step of a job: a number of tasks of one kind.
 */
import * as z from 'zod'
import { listOf } from '../schemas/list-of.js'
import { Resources } from './resources.js'

/** Longest estimate that counts, in milliseconds. Larger ones would make sums of work infinite. */
const MAXIMUM_ESTIMATE_MILLISECONDS = 86_400_000

/** Step as defined by the caller. Zero, false and empty mean "not requested". */
export const StepDefinition = z.compile(z.object({
  /** Number of tasks. */
  count: z.number().int().min(1).max(10_000),
  /** Resources that each task uses. */
  demand: Resources,
  /** The caller's rough estimate of a task's duration, in milliseconds, up to the longest that counts. */
  estimateMilliseconds: z.number().min(0).transform(estimate => Math.min(estimate, MAXIMUM_ESTIMATE_MILLISECONDS)),
  /** Indexes of earlier steps whose tasks must all be done first. */
  after: listOf(z.number().int().min(0)),
  /** Whether the tasks write checkpoints from which a later run resumes. */
  savesProgress: z.boolean(),
  /** Whether the tasks make progress only while all of them run. */
  isGang: z.boolean(),
  /** Whether the tasks run slower when they are spread over several racks. */
  prefersOneRack: z.boolean(),
  /** Label that a worker must have; empty for none. */
  requiredLabel: z.string(),
  /** Rack that holds the step's data; empty for none. */
  preferredRack: z.string(),
  /** Maximum number of the step's tasks, within one occurrence, on one worker; 0 for no limit. */
  maximumPerWorker: z.number().int().min(0),
  /** Whether several copies of a task may run at once. */
  isSpeculative: z.boolean(),
  /** Whether the tasks run until the job is cancelled. */
  isLasting: z.boolean(),
  /** Image that the tasks run; tasks of the same image behave alike. */
  image: z.string(),
  /** Upper bound on the tail latency of a lasting task, in milliseconds; 0 for none. */
  targetLatencyMilliseconds: z.number().min(0),
  /** Whether the tasks use processors that other tasks leave idle instead of reserving some. */
  isFiller: z.boolean(),
  /** Maximum number of the step's lasting tasks that planned work may interrupt at the same time; 0 for no budget. */
  disruptionBudget: z.number().int().min(0)
}))
export type StepDefinition = z.infer<typeof StepDefinition>
