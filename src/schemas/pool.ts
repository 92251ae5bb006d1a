/**
 * A pool: the VMs that run one service.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** What operators set of a pool. */
export const Pool = z.object({
  name: Name,
  /** Requests that a VM of the pool runs at once. */
  slotsPerVirtualMachine: z.number().int().min(1).max(1_024).default(8),
  /** Connections that a VM of the pool takes, from all entry VMs together. */
  connectionsPerVirtualMachine: z.number().int().min(1).max(4_096).default(64),
  /** Availability budget: planned work never leaves fewer VMs serving. */
  minimumServing: z.number().int().min(0).default(0),
  /** Whether moves take VMs from this pool first. */
  isSpare: z.boolean().default(false),
  /** How long a VM that comes back is given less than its full slots, in milliseconds. */
  slowStartMilliseconds: z.number().int().min(0).max(600_000).default(10_000)
}).strict()
export type Pool = z.infer<typeof Pool>
