/**
 * The default decision on copies.
 */
import type { CopyCandidate } from './copy-candidate.js'
import type { CopyPool } from './copy-pool.js'
import { SpeculationPolicy } from './speculation-policy.js'

/** Multiple of its expected duration from which on a run counts as slow. */
const SLOW_RUN_MULTIPLE = 2

/** Largest fraction of a pool's processors that copies hold. */
const MAXIMUM_COPIED_FRACTION = 0.05

/** Multiple of a copy's expected duration that the original has to take for a late job to gain clearly. */
const CLEAR_GAIN_MULTIPLE = 2

/**
 * Copies runs that take far longer than others of their kind, those that are oldest relative to their expected duration first. A run whose worker reports no progress is
 * expected to take as long again as it has taken: the longer a run of a long-tailed distribution has taken, the longer it still takes.
 */
export class TailSpeculationPolicy extends SpeculationPolicy {
  override slowAfterMilliseconds (expectedMilliseconds: number): number {
    return expectedMilliseconds * SLOW_RUN_MULTIPLE
  }

  override choose<Candidate extends CopyCandidate> ({ candidates, hasWaitingTasks, totalMillicores, copiedMillicores }: CopyPool<Candidate>, now: number): Candidate[] {
    if (hasWaitingTasks) return []
    const lateness = ({ startedAt, expectedMilliseconds }: CopyCandidate): number => (now - startedAt) / expectedMilliseconds
    const slow = candidates.filter(candidate => candidate.expectedMilliseconds > 0 && now - candidate.startedAt > this.slowAfterMilliseconds(candidate.expectedMilliseconds) && this._isOfUse(candidate, now))
    let free = totalMillicores * MAXIMUM_COPIED_FRACTION - copiedMillicores
    return slow.sort((left, right) => lateness(right) - lateness(left)).filter(({ millicores }) => {
      if (millicores > free) return false
      free -= millicores
      return true
    })
  }

  /** Whether a copy can be expected to complete before the original, in time for the job's target, or else clearly before the original and while the result is of use. */
  private _isOfUse (candidate: CopyCandidate, now: number): boolean {
    const { expectedMilliseconds, onTimeUntil, usefulUntil } = candidate
    const remaining = this._remainingMilliseconds(candidate, now)
    const copyCompletesAt = now + expectedMilliseconds
    if (copyCompletesAt <= onTimeUntil) return expectedMilliseconds < remaining
    return copyCompletesAt <= usefulUntil && expectedMilliseconds * CLEAR_GAIN_MULTIPLE <= remaining
  }

  private _remainingMilliseconds ({ startedAt, progressPercent }: CopyCandidate, now: number): number {
    const age = now - startedAt
    return progressPercent > 0 && progressPercent < 100 ? age * (100 - progressPercent) / progressPercent : age
  }
}
