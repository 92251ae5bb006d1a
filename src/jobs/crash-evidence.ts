/**
 * What the crash of a worker says for or against one of its runs.
 */
import * as z from 'zod'

/** The circumstances of a crash, as far as they were known when it was recorded. */
export const CrashEvidence = z.object({
  /** Time for which the run certainly had been active when the worker ended, in milliseconds. */
  minimumAge: z.number(),
  /** Time for which it may have been active at most, in milliseconds. */
  maximumAge: z.number(),
  /** Ends of workers, by no run on trial, in a second of one worker, before the crash. */
  rate: z.number(),
  /** Runs on trial beside it, a gang counted as one: each may have been the cause instead. */
  rivals: z.number().int()
})
export type CrashEvidence = z.infer<typeof CrashEvidence>
