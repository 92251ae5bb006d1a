/**
 * A pool as the decision on copies sees it.
 */
import type { CopyCandidate } from './copy-candidate.js'

/** The tasks of a pool that may get a copy, and what the pool can spare for copies. */
export interface CopyPool<Candidate extends CopyCandidate> {
  readonly candidates: readonly Candidate[]
  /** Whether a task waits for room. */
  readonly hasWaitingTasks: boolean
  /** Processors of the workers that may get tasks. */
  readonly totalMillicores: number
  /** Processors that copies hold, also those that are being stopped. */
  readonly copiedMillicores: number
}
