/**
 * A pool: the VMs that run one service.
 */
import * as z from 'zod'
import { Name } from './name.js'

/** The fields of a pool that operators configure. */
export const Pool = z.object({
  name: Name,
  /** Maximum number of requests that a VM of the pool runs at once. */
  slotsPerVirtualMachine: z.number().int().min(1).max(1_024).default(8),
  /** Maximum number of connections that a VM of the pool accepts from all entry VMs together. */
  connectionsPerVirtualMachine: z.number().int().min(1).max(4_096).default(64),
  /** Availability budget: minimum number of VMs that planned work leaves serving. */
  minimumServing: z.number().int().min(0).default(0),
  /** Whether moves take VMs from this pool first. */
  isSpare: z.boolean().default(false),
  /** Time after a VM's return to service during which fewer than all of its slots are used, in milliseconds. */
  slowStartMilliseconds: z.number().int().min(0).max(600_000).default(10_000)
}).strict()
export type Pool = z.infer<typeof Pool>
