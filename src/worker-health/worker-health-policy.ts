/**
 * Interface of the decision on the health of workers.
 */
import type { HealthEvidence } from './health-evidence.js'
import type { PoolMember } from './pool-member.js'
import type { WorkerHealth } from './worker-health.js'

/** Decides from recent outcomes which workers get new tasks. Keeps no state of its own. */
export abstract class WorkerHealthPolicy {
  /** Time for which outcomes are kept, in milliseconds. */
  abstract readonly retentionMilliseconds: number

  /** Returns the health that follows from the present one; the same object if nothing changes. */
  abstract assess (evidence: HealthEvidence, health: WorkerHealth, now: number): WorkerHealth

  /** Returns what an excluded worker, or one that is to be excluded, gets instead if its pool can't do without it. */
  abstract readmit (health: WorkerHealth, now: number): WorkerHealth

  /** Returns how much the evidence speaks against a worker, for comparison with others. */
  abstract severity (evidence: HealthEvidence, now: number): number

  /** Returns the number of events, given by their epoch milliseconds, by the weight that they still have. */
  abstract decayedCount (moments: readonly number[], now: number): number

  /** Returns the excluded VMs of a pool that have to be readmitted, so that exclusions don't cost it too much. */
  abstract readmissions (pool: readonly PoolMember[]): string[]
}
