/**
 * Amounts of resources that workers have and tasks use.
 */
import * as z from 'zod'

/** All amounts are integers, so that sums are exact. */
export const Resources = z.object({
  /** Processor time in thousandths of a core. */
  millicores: z.number().int().min(0),
  memoryMegabytes: z.number().int().min(0),
  accelerators: z.number().int().min(0)
})
export type Resources = z.infer<typeof Resources>
