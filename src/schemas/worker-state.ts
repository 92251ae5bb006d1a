/**
 * Workers in the folded state.
 */
import * as z from 'zod'
import { Name } from './name.js'
import { Worker } from './worker.js'

/** A registered worker with its quarantine status. */
export const WorkerState = z.object({
  value: Worker,
  /** Offset of the last record that changed the worker. */
  version: z.number().int(),
  /** Whether it gets no further tasks. */
  isQuarantined: z.boolean(),
  /** Tasks that failed on this worker and later succeeded on another one. */
  provedFailures: z.array(Name)
})
export type WorkerState = z.infer<typeof WorkerState>
