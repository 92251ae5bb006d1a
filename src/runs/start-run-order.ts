/**
 * Order to start a run.
 */
import * as z from 'zod'

/** What a worker needs to start a run of a task. */
export const StartRunOrder = z.object({
  task: z.string(),
  run: z.number().int(),
  specification: z.string(),
  /** Checkpoint to resume from; empty for none. */
  checkpoint: z.string(),
  /** Ticket of the advice service; empty for none. */
  ticket: z.string()
})
export type StartRunOrder = z.infer<typeof StartRunOrder>
