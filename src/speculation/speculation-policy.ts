/**
 * Interface of the policy that decides which tasks get a copy.
 */
import type { CopyCandidate } from './copy-candidate.js'
import type { CopyPool } from './copy-pool.js'

/** Decides for one pool at a time. */
export abstract class SpeculationPolicy {
  /** Returns the age that a run with the given expected duration has to exceed to get a copy, in milliseconds. */
  abstract slowAfterMilliseconds (expectedMilliseconds: number): number

  /** Returns the tasks that get a copy now, the most urgent first. */
  abstract choose<Candidate extends CopyCandidate> (pool: CopyPool<Candidate>, now: number): Candidate[]
}
