/**
 * The operators' configuration of the fleet.
 */
import * as z from 'zod'
import { JobQueue } from './job-queue.js'
import { JobTeam } from './job-team.js'
import { WorkerPool } from './worker-pool.js'

/** One complete version. Version numbers increase, not necessarily by one. */
export const FleetConfiguration = z.object({
  version: z.number(),
  queues: z.array(JobQueue),
  pools: z.array(WorkerPool),
  teams: z.array(JobTeam),
  /** Maximum size of a request body in bytes. */
  maximumBodyBytes: z.number().int().min(1)
})
export type FleetConfiguration = z.infer<typeof FleetConfiguration>
