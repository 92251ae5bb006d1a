/**
 * Limit on how often a supervisor restarts a failing child before it fails itself.
 */
import * as z from 'zod'

/** Restarts allowed within a sliding window; one more makes the supervisor fail. */
export const RestartLimit = z.object({
  /** Maximum number of restarts of one child within the window. */
  restarts: z.number().int().nonnegative(),
  /** Length of the sliding window in milliseconds. */
  windowMilliseconds: z.number().int().positive()
})
export type RestartLimit = z.infer<typeof RestartLimit>
