/**
 * A team: a customer with keys, a share and an upper limit.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** What operators set of a team. */
export const Team = z.object({
  name: Name,
  /** Weight among the teams when all is full. */
  share: z.number().int().min(1).max(1_000_000),
  /** Most requests of the team that run at once in the whole fleet. */
  upperLimit: z.number().int().min(0).max(1_000_000)
}).strict()
export type Team = z.infer<typeof Team>
