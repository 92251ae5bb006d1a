/**
 * A failed run, as the attribution of failures sees it.
 */
import * as z from 'zod'

export const RunFailure = z.object({
  at: z.number(),
  /** Epoch milliseconds at which the run was started; 0 if another owner started it. */
  startedAt: z.number(),
  /** Name of the task. */
  task: z.string(),
  /** What the task has in common with others that behave alike. */
  kind: z.string(),
  virtualMachine: z.string(),
  /** Whether the task has been done on another VM since. */
  isDoneElsewhere: z.boolean()
})
export type RunFailure = z.infer<typeof RunFailure>
