/**
 * Teams: customers with keys, a share and an upper limit.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** The fields of a team that operators configure. */
export const Team = z.object({
  name: Name,
  /** Weight of the team in the division of capacity when demand exceeds it. */
  share: z.number().int().min(1).max(1_000_000),
  /** Maximum number of requests of the team that may run at once in the whole fleet. */
  upperLimit: z.number().int().min(0).max(1_000_000)
}).strict()
export type Team = z.infer<typeof Team>
