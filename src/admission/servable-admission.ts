/**
 * Admission of jobs by whether they can be served, from what this process has read of the journal.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { JobQueue } from '../configuration/job-queue.js'
import type { FleetTime } from '../jobs/fleet-time.js'
import { JobAllowance } from '../jobs/job-allowance.js'
import type { JobSubmission } from '../jobs/job-submission.js'
import type { JournalFollowerTask } from '../jobs/journal-follower-task.js'
import { longestPaths } from '../jobs/longest-paths.js'
import type { PoolWork } from '../jobs/pool-work.js'
import { WaitingJob } from '../jobs/waiting-job.js'
import { WorkLane } from '../jobs/work-lane.js'
import type { Metrics } from '../observability/metrics.js'
import type { Clock } from '../supervision/clock.js'
import type { JobCandidate } from './job-candidate.js'
import type { RetryTimes } from './retry-times.js'
import type { ServabilityDecision } from './servability-decision.js'
import type { ServabilityPolicy } from './servability-policy.js'
import type { ServabilityRefusal } from './servability-refusal.js'

/** Rate of a pool for which no job has been accepted. */
const NO_RATE = { millicores: 0, tasks: 0, growthRatio: Infinity, isSaturated: false, sustainedWork: 0 }

/** What this process has read of the journal. */
interface JournalState {
  readonly submissions: Pick<JournalFollowerTask, 'freshAt' | 'jobTable'>
  readonly decisions: Pick<JournalFollowerTask, 'freshAt' | 'ownerLastContactAt'>
  readonly fleetTime: Pick<FleetTime, 'fromLocal'>
}

/** Collects the inputs of the policy, and turns refusals into responses with the time of a retry. */
export class ServableAdmission {
  /** @param _isEnabled returns whether the settings call for it at present. */
  constructor (
    private readonly _policy: ServabilityPolicy, private readonly _configuration: Pick<ConfigurationFollowerTask, 'team'>, private readonly _journal: JournalState,
    private readonly _retryTimes: RetryTimes, private readonly _isEnabled: () => boolean, private readonly _clock: Clock, private readonly _metrics: Metrics
  ) {}

  /** Returns why a job is refused, or null if it isn't. */
  refusalOf (submission: JobSubmission, queue: JobQueue): ServabilityRefusal | null {
    if (!this._isEnabled()) return null
    const now = this._clock.now()
    const asOf = this._stateAsOf()
    const poolWork = this._journal.submissions.jobTable.waitingWork.ofPool(queue.pool)
    const decision = this._decide(this._candidate(submission, queue), WorkLane.nameOf(queue.name, submission.team, submission.steps), poolWork, asOf, now)
    this._metrics.count('admission.decisions', 1, decision.outcome)
    if ('estimate' in decision) this._metrics.setGauge('admission.wait_milliseconds.level', Math.round(decision.estimate.waitMilliseconds), queue.pool)
    if (decision.outcome === 'refused-limit') return { response: { kind: 'too-large' }, logFields: { refusedBy: 'upper limit', stateAge: Math.round(now - asOf) } }
    if (decision.outcome !== 'refused-backlog') return null
    const { waitMilliseconds, usefulWaitMilliseconds, rateMillicores } = decision.estimate
    return {
      response: { kind: 'overloaded', retryAt: this._retryTimes.afterUnservable(waitMilliseconds - usefulWaitMilliseconds, this._teamFraction(submission.team, poolWork), now) },
      logFields: { refusedBy: 'wait', pool: queue.pool, estimatedWait: Math.round(waitMilliseconds), usefulWait: Math.round(usefulWaitMilliseconds), rate: Math.round(rateMillicores), stateAge: Math.round(now - asOf) }
    }
  }

  private _decide (candidate: JobCandidate, laneName: string, poolWork: PoolWork | null, asOf: number, now: number): ServabilityDecision {
    const lane = poolWork?.lane(laneName) ?? null
    return this._policy.decide(candidate, {
      now: this._journal.fleetTime.fromLocal(now),
      ageMilliseconds: now - asOf,
      ownLane: lane && { unplacedWork: lane.unplacedWork, jobs: lane.jobs, rate: lane.rate(asOf, now) },
      rate: poolWork?.rate(asOf, now) ?? NO_RATE,
      lanes: poolWork?.lanes ?? []
    })
  }

  private _candidate (submission: JobSubmission, queue: JobQueue): JobCandidate {
    const { steps, team } = submission
    const criticalPathMilliseconds = Math.max(...longestPaths(steps))
    return {
      demands: steps.map(({ demand }) => demand),
      upperLimit: this._configuration.team(team)?.upperLimit ?? null,
      priority: queue.priority,
      allowance: WorkLane.counts(submission) && JobAllowance.hasTarget(queue) ? new JobAllowance(queue, criticalPathMilliseconds) : null,
      criticalPathMilliseconds,
      work: steps.reduce((sum, step) => sum + step.count * WaitingJob.workPerTask(step), 0)
    }
  }

  /** Epoch milliseconds as of which the state is known. Without records of an owner, which writes several a second, nothing is known of what is being placed. */
  private _stateAsOf (): number {
    const { submissions, decisions } = this._journal
    return Math.min(this._clock.now(), submissions.freshAt, decisions.freshAt, decisions.ownerLastContactAt)
  }

  /** Returns how much of the waiting work of a pool, relative to the teams' shares, is a team's, from 0 to 1. */
  private _teamFraction (team: string, poolWork: PoolWork | null): number {
    let ofTeam = 0
    let ofAll = 0
    for (const lane of poolWork?.lanes ?? []) {
      const relativeWork = lane.unplacedWork / Math.max(1, this._configuration.team(lane.team)?.share ?? 1)
      ofAll += relativeWork
      if (lane.team === team) ofTeam += relativeWork
    }
    return ofAll === 0 ? 0 : ofTeam / ofAll
  }
}
