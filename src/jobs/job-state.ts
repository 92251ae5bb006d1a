/**
 * State of a job.
 */
import * as z from 'zod'

/** States as reported to callers. */
export const JobState = z.enum(['queued', 'running', 'completed', 'failed', 'cancelled'])
export type JobState = z.infer<typeof JobState>
