/**
 * A start without a response that may still be carried out, as stored in the journal.
 */
import * as z from 'zod'

/** The start of an earlier run of a task. Until it is over for all incarnations of its worker, the task starts under that worker's ID only. */
export const LateStart = z.object({
  /** ID of the worker that the start was sent to. */
  worker: z.string(),
  /** Incarnation of that worker that was known when the run was given up: epoch milliseconds of its start. */
  incarnation: z.number(),
  /** Fleet time until which the start may be carried out, in milliseconds. */
  until: z.number()
})
export type LateStart = z.infer<typeof LateStart>
