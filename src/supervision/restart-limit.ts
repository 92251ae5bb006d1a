/**
 * How often a supervisor restarts a failing child before it gives up.
 */
import * as z from 'zod'

/** Restarts allowed within a window; beyond it the supervisor itself fails. */
export const RestartLimit = z.object({
  /** Most restarts of one child within the window. */
  restarts: z.number().int().nonnegative(),
  /** Length of the window in milliseconds. */
  windowMilliseconds: z.number().int().positive()
})
export type RestartLimit = z.infer<typeof RestartLimit>
