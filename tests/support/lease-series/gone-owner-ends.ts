/**
 * The ways in which owners end in series of workers that have ended.
 */
import type { Disturbance } from './disturbance.js'
import { OWNER_ENDS } from './owner-ends.js'
import { WORKER_PARTITIONS } from './worker-partitions.js'

/** All of them. */
export const GONE_OWNER_ENDS: readonly Disturbance<string>[] = [...OWNER_ENDS, ...WORKER_PARTITIONS]
