/**
 * Report of a worker, returned with each lease renewal.
 */
import * as z from 'zod'

/** A run that has started and not ended. */
const ActiveRun = z.object({
  task: z.string(),
  run: z.number().int(),
  checkpoint: z.string(),
  /** Progress, or readiness for a lasting task; 100 is complete or fully ready. */
  percent: z.number(),
  /** Estimate over the last half second: tail latency in milliseconds for a serving task, millicores in use for others. */
  load: z.number()
})

/** A completed run; reported again until the completion is acknowledged. */
const RunCompletion = z.object({
  /** Sequence number of the completion within the worker's incarnation, from 1. */
  sequence: z.number().int(),
  task: z.string(),
  run: z.number().int(),
  /** `lapsed`: the lease expired; `broken`: another member of the gang ended; `alone`: the other members never started. */
  result: z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']),
  checkpoint: z.string()
})

/** Snapshot of the runs on a worker. */
export const WorkerReport = z.object({
  /** Incarnation that sent the report; 0 if unknown. */
  incarnation: z.number(),
  /** The worker's monotonic clock, in milliseconds. */
  clock: z.number(),
  running: z.array(ActiveRun),
  ended: z.array(RunCompletion),
  /** Whether it has all active runs and all unacknowledged completions: a worker returns only so many completions at once. */
  isComplete: z.boolean(),
  /** Number of runs and completions that could not be decoded. */
  unreadableRows: z.number().int().min(0)
})
export type WorkerReport = z.infer<typeof WorkerReport>
