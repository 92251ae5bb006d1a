/**
 * A worker as the fold keeps it.
 */
import * as z from 'zod'
import { Name } from './name.js'
import { Worker } from './worker.js'

/** The registered worker with what is held against it. */
export const WorkerState = z.object({
  value: Worker,
  /** Offset of the last record that changed the worker. */
  version: z.number().int(),
  /** Whether it gets no more tasks. */
  isQuarantined: z.boolean(),
  /** Tasks that failed here and later ran well elsewhere. */
  provedFailures: z.array(Name)
})
export type WorkerState = z.infer<typeof WorkerState>
