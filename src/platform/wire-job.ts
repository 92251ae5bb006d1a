/**
 * The wire format of a job submission.
 */
import * as z from 'zod'
import type { JobSubmission } from '../jobs/job-submission.js'
import type { StepDefinition } from '../jobs/step-definition.js'
import { listOf } from '../schemas/list-of.js'
import { WireResources } from './wire-resources.js'

/** Maximum length of a specification in bytes. */
const MAXIMUM_SPECIFICATION_BYTES = 4_000

/** Maximum number of occurrences of a job. */
const MAXIMUM_OCCURRENCES = 1_000

/** Maximum number of tasks of a step: their progress is one record of the store. */
const MAXIMUM_TASKS_PER_STEP = 2_000

/** Maximum number of tasks of a job, in all occurrences: the owner of the journal keeps them in memory. */
const MAXIMUM_TASKS_PER_JOB = 20_000

const WireStep = z.object({
  count: z.number().int().min(1).max(MAXIMUM_TASKS_PER_STEP).default(1),
  estimate_ms: z.number().min(0).default(0),
  after: listOf(z.number().int().min(0)).default([]).transform(earlier => [...new Set(earlier)]),
  saves_progress: z.boolean().default(false),
  gang: z.boolean().default(false),
  same_rack: z.boolean().default(false),
  constraints: z.string().default(''),
  // The rack that holds the data; not an affinity between tasks.
  affinity: z.string().default(''),
  anti_affinity: z.number().int().min(0).default(0),
  speculative: z.boolean().default(false),
  daemon: z.boolean().default(false),
  image: z.string().default(''),
  target_ms: z.number().min(0).default(0),
  fills: z.boolean().default(false),
  may_miss: z.number().int().min(0).default(0)
}).and(WireResources).transform((step): StepDefinition => ({
  count: step.count,
  demand: { millicores: step.millicores, memoryMegabytes: step.memoryMegabytes, accelerators: step.accelerators },
  estimateMilliseconds: step.estimate_ms,
  after: step.after,
  savesProgress: step.saves_progress,
  isGang: step.gang,
  prefersOneRack: step.same_rack,
  requiredLabel: step.constraints,
  preferredRack: step.affinity,
  maximumPerWorker: step.anti_affinity,
  isSpeculative: step.speculative,
  isLasting: step.daemon,
  image: step.image,
  targetLatencyMilliseconds: step.target_ms,
  isFiller: step.fills,
  disruptionBudget: step.may_miss
}))

/** Body of a submission. The front end and the job service add ID, queue, team and submission time. */
export const WireJob = z.object({
  spec: z.string().refine(text => Buffer.byteLength(text) <= MAXIMUM_SPECIFICATION_BYTES, `must have at most ${MAXIMUM_SPECIFICATION_BYTES} bytes`).default(''),
  steps: z.array(WireStep).min(1).max(1_000),
  repeat_count: z.number().int().min(0).max(MAXIMUM_OCCURRENCES).default(0),
  start_at_ms: z.number().min(0).default(0),
  interval_ms: z.number().min(0).default(0)
}).refine(
  ({ steps }) => steps.every(({ after }, index) => after.every(earlier => earlier < index)),
  'steps may only come after earlier ones'
).refine(
  ({ steps, repeat_count: occurrences }) => Math.max(1, occurrences) * steps.reduce((sum, { count }) => sum + count, 0) <= MAXIMUM_TASKS_PER_JOB,
  `a job may have at most ${MAXIMUM_TASKS_PER_JOB} tasks in all occurrences`
).transform((job): Omit<JobSubmission, 'id' | 'queue' | 'team' | 'submittedAt'> => ({
  specification: job.spec,
  steps: job.steps,
  occurrences: Math.max(1, job.repeat_count),
  startAt: job.start_at_ms,
  intervalMilliseconds: job.interval_ms
}))
