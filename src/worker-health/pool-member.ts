/**
 * A VM of a pool, as the limit on exclusions sees it.
 */
import * as z from 'zod'
import { Resources } from '../jobs/resources.js'

export const PoolMember = z.object({
  virtualMachine: z.string(),
  capacity: Resources,
  isExcluded: z.boolean(),
  /** How much there is against it; only compared with that of others. */
  severity: z.number()
})
export type PoolMember = z.infer<typeof PoolMember>
