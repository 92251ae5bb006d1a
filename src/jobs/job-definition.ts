/**
 * The part of a submission that the caller provides.
 */
import type { JobSubmission } from './job-submission.js'

/** The process that accepts the job adds ID, queue, team and time. */
export type JobDefinition = Pick<JobSubmission, 'specification' | 'steps' | 'occurrences' | 'startAt' | 'intervalMilliseconds'>
