/**
 * The parts of a submission that its caller gives.
 */
import type { JobSubmission } from './job-submission.js'

/** ID, queue, team and time are added by the entry process. */
export type SubmittedJob = Pick<JobSubmission, 'specification' | 'steps' | 'occurrences' | 'startAt' | 'intervalMilliseconds'>
