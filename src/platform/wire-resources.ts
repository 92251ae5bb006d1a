/**
 * The wire format of resource amounts.
 */
import * as z from 'zod'
import type { Resources } from '../jobs/resources.js'

/** `cpu` is in millicores; a missing field means 0. */
export const WireResources = z.object({
  cpu: z.number().int().min(0).default(0),
  mem_mb: z.number().int().min(0).default(0),
  gpus: z.number().int().min(0).default(0)
}).transform(({ cpu, mem_mb: memoryMegabytes, gpus }): Resources => ({ millicores: cpu, memoryMegabytes, accelerators: gpus }))
