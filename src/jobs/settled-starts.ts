/**
 * The starts that are no longer on their way, as the owner has written it.
 */
import * as z from 'zod'

/**
 * A low watermark over the numbers of placements. The start of a placement numbered below `before` and not in `except` has been accepted or refused by its worker, or was never sent: no later incarnation of the
 * worker receives it. Of all others nothing is known.
 */
export const SettledStarts = z.object({
  /** Number of the first placement about which nothing is said. */
  before: z.number().int().min(0),
  /** Numbers of earlier placements whose starts may still be on their way. */
  except: z.array(z.number().int())
})
export type SettledStarts = z.infer<typeof SettledStarts>
