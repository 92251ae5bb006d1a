/**
 * A queue of jobs.
 */
import * as z from 'zod'
import { AdviceSettings } from './advice-settings.js'

/** What a configuration says of a queue. */
export const JobQueue = z.object({
  name: z.string(),
  /** Host that callers address. */
  host: z.string(),
  /** Beginning of the paths that belong to the queue. */
  pathPrefix: z.string(),
  /** Pool whose workers run the queue's tasks. */
  pool: z.string(),
  /** 0 comes first and may preempt others. */
  priority: z.number().int(),
  /** Failed runs after which a task has failed for good. */
  maximumAttempts: z.number().int().min(1),
  /** Factor on a job's longest chain of work that callers still find timely. */
  stretch: z.number().min(0),
  /** Time on top of it, in milliseconds. */
  targetLatencyMilliseconds: z.number().min(0),
  /** Whether callers need no key. */
  isOpenToAll: z.boolean(),
  /** Null on queues whose tasks may run on any worker of the pool. */
  advice: AdviceSettings.nullable()
})
export type JobQueue = z.infer<typeof JobQueue>
