/**
 * What a worker answers when it is asked to hold its runs.
 */
import * as z from 'zod'

/** A run under way. */
const ActiveRun = z.object({
  task: z.string(),
  run: z.number().int(),
  checkpoint: z.string(),
  /** Progress, or readiness for a lasting task; 100 is done or fully at work. */
  percent: z.number(),
  /** Rough figure for the last half second: tail of response times in milliseconds for a serving task, millicores in use for others. */
  load: z.number()
})

/** A run that has ended and whose end hasn't been acknowledged. */
const RunCompletion = z.object({
  /** Number of the end within the worker's incarnation. */
  number: z.number().int(),
  task: z.string(),
  run: z.number().int(),
  /** `lapsed`: its lease; `broken`: another member of its gang ended; `alone`: the others never came. */
  how: z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']),
  checkpoint: z.string()
})

/** Lists of one moment. */
export const WorkerReport = z.object({
  /** Incarnation that answered; 0 if it didn't say. */
  incarnation: z.number(),
  /** The worker's own steady clock, in milliseconds. */
  clock: z.number(),
  running: z.array(ActiveRun),
  ended: z.array(RunCompletion)
})
export type WorkerReport = z.infer<typeof WorkerReport>
