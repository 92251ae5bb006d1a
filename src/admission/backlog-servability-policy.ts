/**
 * The default policy of servable admission.
 */
import type { Resources } from '../jobs/resources.js'
import type { WorkRate } from '../jobs/work-rate.js'
import type { JobCandidate } from './job-candidate.js'
import type { PoolBacklog } from './pool-backlog.js'
import type { ServabilityDecision } from './servability-decision.js'
import { ServabilityPolicy } from './servability-policy.js'
import type { WaitingLane } from './waiting-lane.js'

/** Age of the state beyond which nothing is concluded from it, in milliseconds: the same as that of the configuration beyond which nothing is accepted. */
const MAXIMUM_STATE_AGE_MILLISECONDS = 1_500

/** Least number of tasks that a rate is measured over: with fewer, chance alone changes it by more than a quarter. */
const MINIMUM_RATE_TASKS = 16

/** Number of standard deviations by which a rate may be higher than measured, if the number of tasks placed varies by chance: exceeded in one of forty estimates. */
const RATE_DEVIATIONS = 2

/** Ratio of the later to the earlier rate from which it is growing; with a hundred tasks in each half, chance alone causes 10% to 15%. */
const GROWTH_RATIO = 1.25

/** Work ahead of a job, in millicores times milliseconds. */
interface WorkAhead {
  /** Of jobs that can still complete on time. */
  readonly onTime: number
  /** Of those and of jobs that are late but still of use. */
  readonly useful: number
}

/**
 * Estimates the wait from the work ahead of the job and the rate at which work is taken up. The estimate is the smaller one of that within the job's lane, whose rate includes what the upper limit and the share of its team allow, and that within the
 * pool, which is larger if the upper limit of the team says so. Refuses only if the rate shows what the workers can do: work of the lane has been waiting throughout, and the rate is not growing.
 */
export class BacklogServabilityPolicy extends ServabilityPolicy {
  override decide (job: JobCandidate, backlog: PoolBacklog): ServabilityDecision {
    if (job.demands.some(demand => this._exceeds(demand, job.upperLimit))) return { outcome: 'refused-limit' }
    const { allowance, criticalPathMilliseconds } = job
    const { ownLane, ageMilliseconds } = backlog
    if (!allowance || !ownLane || ageMilliseconds > MAXIMUM_STATE_AGE_MILLISECONDS || !this._isReliable(ownLane.rate)) return { outcome: 'accepted-unknown' }
    const usefulWaitMilliseconds = Math.max(0, allowance.usefulMilliseconds - criticalPathMilliseconds)
    const rateMillicores = this._highestRate(ownLane.rate)
    const largestEstimate = { waitMilliseconds: ownLane.unplacedWork / rateMillicores, usefulWaitMilliseconds, rateMillicores }
    // Work that has begun to wait only now may be what VMs are joining the pool for.
    if (Math.min(ownLane.unplacedWork, ownLane.rate.sustainedWork) / rateMillicores <= usefulWaitMilliseconds) return { outcome: 'accepted', estimate: largestEstimate }
    // VMs that join the pool for other work may serve this next.
    if (backlog.rate.growthRatio > GROWTH_RATIO) return { outcome: 'accepted-unknown' }
    const waitMilliseconds = this._wait(job, backlog, ownLane, Math.max(0, allowance.onTimeMilliseconds - criticalPathMilliseconds))
    return { outcome: waitMilliseconds > usefulWaitMilliseconds ? 'refused-backlog' : 'accepted', estimate: { waitMilliseconds, usefulWaitMilliseconds, rateMillicores } }
  }

  private _exceeds (demand: Resources, limit: Resources | null): boolean {
    const exceeds = (amount: number, maximum: number): boolean => maximum > 0 && amount > maximum
    return limit !== null && (exceeds(demand.millicores, limit.millicores) || exceeds(demand.memoryMegabytes, limit.memoryMegabytes) || exceeds(demand.accelerators, limit.accelerators))
  }

  private _isReliable ({ tasks, growthRatio, isSaturated }: WorkRate): boolean {
    return tasks >= MINIMUM_RATE_TASKS && isSaturated && growthRatio <= GROWTH_RATIO
  }

  /** The highest rate that agrees with what was measured. */
  private _highestRate ({ tasks, millicores }: WorkRate): number {
    return millicores * (1 + RATE_DEVIATIONS / Math.sqrt(Math.max(1, tasks)))
  }

  private _wait (job: JobCandidate, { now, rate, lanes }: PoolBacklog, ownLane: WaitingLane, onTimeWaitMilliseconds: number): number {
    const laneRate = this._highestRate(ownLane.rate)
    const poolRate = this._highestRate(rate)
    const limitRate = job.upperLimit && job.upperLimit.millicores > 0 ? Math.max(job.upperLimit.millicores, laneRate) : Infinity
    const laneWork = this._workAhead(job, now, [ownLane])
    const poolWork = this._workAhead(job, now, lanes)
    const wait = (works: (ahead: WorkAhead) => number): number =>
      Math.min(works(laneWork) / laneRate, Math.max(works(poolWork) / poolRate, works(laneWork) / limitRate))
    const waitBehindOnTime = wait(({ onTime }) => onTime)
    // Late work precedes the job only once the job is late as well.
    return waitBehindOnTime <= onTimeWaitMilliseconds ? waitBehindOnTime : wait(({ useful }) => useful)
  }

  /** Sums up the work that would be placed before the job: of jobs of a higher priority, and of those of its own that need no more work. */
  private _workAhead (job: JobCandidate, now: number, lanes: Iterable<Pick<WaitingLane, 'jobs'>>): WorkAhead {
    let onTime = 0
    let useful = 0
    for (const { jobs } of lanes) {
      for (const { priority, unplacedWork, latestOnTimeStartAt, latestUsefulStartAt } of jobs) {
        if (latestUsefulStartAt < now || priority > job.priority || (priority === job.priority && unplacedWork > job.work)) continue
        useful += unplacedWork
        if (latestOnTimeStartAt >= now) onTime += unplacedWork
      }
    }
    return { onTime, useful }
  }
}
