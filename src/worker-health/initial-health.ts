/**
 * The health of a worker of which nothing is known.
 */
import type { WorkerHealth } from './worker-health.js'

export const INITIAL_HEALTH: WorkerHealth = { state: 'trusted', since: 0, until: Infinity, reason: 'none', exclusions: 0, isSlow: false }
