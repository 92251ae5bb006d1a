/**
 * The configuration of a team that submits jobs.
 */
import * as z from 'zod'
import { Resources } from '../jobs/resources.js'

/** Keys, share and upper limit of a team. */
export const JobTeam = z.object({
  name: z.string(),
  keys: z.array(z.string()),
  /** Weight relative to other teams when the fleet is full. */
  share: z.number().min(0),
  /** Maximum resources in use at once in the whole fleet; 0 in a field means no limit. */
  upperLimit: Resources
})
export type JobTeam = z.infer<typeof JobTeam>
