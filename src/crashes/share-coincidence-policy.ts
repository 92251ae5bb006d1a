/**
 * The default policy on ends of workers with a common cause.
 */
import { EndCoincidencePolicy } from './end-coincidence-policy.js'
import type { WorkerEnd } from './worker-end.js'
import type { WorkerPlace } from './worker-place.js'

/** Time between two ends up to which they may have one cause, in milliseconds: restarts that an operator or a fault spreads over the services, and the delay until each is noticed. */
const WINDOW_MILLISECONDS = 300

/** Fraction of all workers that have to end together. At a third of the workers every 3 s, ended one by one, a fifteenth ends in a window. */
const MINIMUM_FLEET_SHARE = 0.2

/** The same of a pool, a rack or an availability zone. These are smaller, so that chance reaches a given fraction more often. */
const MINIMUM_GROUP_SHARE = 1 / 3

/** Ends of other workers that have to coincide: one may do so by chance. */
const MINIMUM_OTHER_ENDS = 2

/** Share of the fleet, and ends, beyond which runs on trial explain nothing: trials take place on at most half of the workers. */
const MAXIMUM_EXPLAINED_SHARE = 0.5
const MAXIMUM_EXPLAINED_ENDS = 3

/** Time after its start in which a deadly run crashes its worker at once, with the delay until that is noticed, in milliseconds. */
const PROMPT_CRASH_MILLISECONDS = 150

/** Difference between starts up to which runs were started together, and may crash their workers together, in milliseconds. */
const JOINT_START_MILLISECONDS = 100

/**
 * Compares the ends around an end with the workers that could have ended: of the whole fleet, and of its pool, rack and availability zone. Ends that runs on trial explain are left out
 * on both sides, since several deadly tasks may start together. So are those of the other kind: a cause that silences workers doesn't let one of them refuse connections.
 */
export class ShareCoincidencePolicy extends EndCoincidencePolicy {
  override commonCause (end: WorkerEnd, others: readonly WorkerEnd[], places: readonly WorkerPlace[]): string | null {
    const coincident = others.filter(other => other.isAbrupt === end.isAbrupt && other.earliestAt - WINDOW_MILLISECONDS <= end.latestAt && end.earliestAt - WINDOW_MILLISECONDS <= other.latestAt)
    const together = new Set(coincident.map(({ worker }) => worker)).size
    if (together > MAXIMUM_EXPLAINED_ENDS && together / places.length > MAXIMUM_EXPLAINED_SHARE) return `${together} of ${places.length} other workers ended within ${WINDOW_MILLISECONDS} ms, more than trials explain`
    const explained = new Set(coincident.filter(other => this._isExplainedByTrial(other, end)).map(({ worker }) => worker))
    const ended = new Set(coincident.map(({ worker }) => worker).filter(worker => !explained.has(worker)))
    if (ended.size < MINIMUM_OTHER_ENDS) return null
    const comparable = places.filter(({ worker }) => !explained.has(worker))
    const groups: ReadonlyArray<readonly [string, readonly WorkerPlace[], number]> = [
      ['fleet', comparable, MINIMUM_FLEET_SHARE],
      [`pool ${end.pool}`, comparable.filter(({ pool }) => pool === end.pool), MINIMUM_GROUP_SHARE],
      [`zone ${end.availabilityZone}`, comparable.filter(({ availabilityZone }) => availabilityZone === end.availabilityZone), MINIMUM_GROUP_SHARE],
      [`rack ${end.rack}`, comparable.filter(({ rack, availabilityZone }) => rack !== '' && rack === end.rack && availabilityZone === end.availabilityZone), MINIMUM_GROUP_SHARE]
    ]
    for (const [name, members, minimumShare] of groups) {
      const count = members.filter(({ worker }) => ended.has(worker)).length
      // One more, so that the ends of all of very few workers are no certainty.
      if (count >= MINIMUM_OTHER_ENDS && count / (members.length + 1) >= minimumShare) return `${count} of ${members.length} other workers ended within ${WINDOW_MILLISECONDS} ms, ${name}`
    }
    return null
  }

  override countBackground (ends: readonly WorkerEnd[], end: WorkerEnd, workers: number): number {
    const others = ends.filter(other => other !== end && !this._isExplainedByTrial(other, end)).sort((left, right) => left.latestAt - right.latestAt)
    let first = 0
    let next = 0
    return others.filter(({ latestAt }) => {
      while ((others[first]?.latestAt ?? Infinity) < latestAt - WINDOW_MILLISECONDS) first += 1
      while ((others[next]?.latestAt ?? Infinity) <= latestAt + WINDOW_MILLISECONDS) next += 1
      const together = next - first - 1
      return together < MINIMUM_OTHER_ENDS || together / workers < MINIMUM_FLEET_SHARE
    }).length
  }

  /** Whether a run on trial on another worker may have caused that worker's end, so that the end says nothing of a common cause. */
  private _isExplainedByTrial (other: WorkerEnd, end: WorkerEnd): boolean {
    return other.trialStarts.some(start => other.earliestAt - start <= PROMPT_CRASH_MILLISECONDS || end.trialStarts.some(ownStart => Math.abs(start - ownStart) <= JOINT_START_MILLISECONDS))
  }
}
