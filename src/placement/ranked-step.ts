/**
 * A waiting step with its rank.
 */
import type { JobQueue } from '../configuration/job-queue.js'
import type { ScheduledStep } from '../scheduling/scheduled-step.js'
import type { workUsefulness } from '../scheduling/work-usefulness.js'
import type { StepRank } from './step-rank.js'

/** A step that may start, as one placement round sees it. */
export interface RankedStep extends StepRank {
  readonly step: ScheduledStep
  readonly queue: JobQueue
  readonly usefulness: ReturnType<typeof workUsefulness>
  /** Epoch milliseconds by which the step has to start for its job to meet its target. */
  readonly latestStartAt: number
}
