/**
 * The configuration of a job queue.
 */
import * as z from 'zod'
import { AdviceSettings } from './advice-settings.js'

/** A queue accepts jobs at a host and path prefix. */
export const JobQueue = z.object({
  name: z.string(),
  /** Host name that callers use. */
  host: z.string(),
  /** Prefix of the paths that belong to the queue. */
  pathPrefix: z.string(),
  /** Pool whose workers run the queue's tasks. */
  pool: z.string(),
  /** 0 is the highest priority and may preempt others. */
  priority: z.number().int(),
  /** Number of failed runs after which a task fails permanently. */
  maximumAttempts: z.number().int().min(1),
  /** A job is on time if it takes at most this multiple of its critical path, plus the target latency. */
  stretch: z.number().min(0),
  /** Time added to the stretched critical path, in milliseconds. */
  targetLatencyMilliseconds: z.number().min(0),
  /** Whether requests need no key. */
  isOpenToAll: z.boolean(),
  /** Null if the queue's tasks may run on any worker of the pool. */
  advice: AdviceSettings.nullable()
})
export type JobQueue = z.infer<typeof JobQueue>
