/**
 * The default decision on the health of workers.
 */
import type { Resources } from '../jobs/resources.js'
import { addResources } from '../placement/add-resources.js'
import { fitsWithin } from '../placement/fits-within.js'
import type { HealthEvidence } from './health-evidence.js'
import type { PoolMember } from './pool-member.js'
import type { WorkerHealth } from './worker-health.js'
import { WorkerHealthPolicy } from './worker-health-policy.js'

/** Time in which an outcome loses half of its weight, in milliseconds. */
const HALF_LIFE_MILLISECONDS = 10_000

/** Probability below which a series of failures isn't taken for chance, if the worker failed as often as the others of its pool. */
const CHANCE_LIMIT = 0.01

/** Limits of the failure rate that is assumed of a pool. With the lower one, two failures of different tasks within nine seconds are no chance; with the upper one, hundreds may be. */
const POOL_FAILURE_RATE_LIMITS = { lower: 0.05, upper: 0.99 } as const

/** Part of the recent runs, or starts, of a worker that must have failed: one that does most of its work is worth more than its failures cost. */
const MINIMUM_FAILURE_RATE = 0.5

/** Decayed number of unplanned ends: the second one within twenty seconds reaches it, a single one never does. */
const LOSS_LIMIT = 1.25

/** Decayed number of starts without a response: the second one within ten seconds reaches it. */
const UNANSWERED_LIMIT = 1.5

/** Duration of the first exclusion, in milliseconds; each further one takes twice as long as the one before. */
const EXCLUSION_MILLISECONDS = 4_000

/** Number of exclusions from which on they no longer take longer: 32 s, so that the evidence outlives them. */
const MAXIMUM_DOUBLINGS = 3

/** Time without an exclusion after which earlier ones no longer count, in milliseconds. */
const FORGET_EXCLUSIONS_MILLISECONDS = 60_000

/** Probation ends after this time, in milliseconds, or after that number of runs that were done; runs that are done say nothing of the next loss of the VM. */
const PROBATION_MILLISECONDS = 30_000
const PROBATION_RUNS = 3

/** Slowdown above which a worker counts as slow, and up to which it no longer does: the gap keeps it from alternating. */
const SLOWDOWN_LIMITS = { above: 2, upTo: 1.5 } as const

/** Largest part of a pool's resources that exclusions may cost. */
const MAXIMUM_EXCLUDED_FRACTION = 0.5

const NO_RESOURCES: Resources = { millicores: 0, memoryMegabytes: 0, accelerators: 0 }

/**
 * Excludes workers whose recent outcomes are neither chance nor shared with their pool. Answers loads in which some workers fail whatever they start,
 * end and return again and again, leave starts without a response, or are slow. A wrong exclusion costs a pool capacity when it is short of it, slow learning only
 * some runs; so nothing is concluded from a single outcome, and an exclusion ends at once when its cause turns out to be another.
 */
export class DecayingWorkerHealthPolicy extends WorkerHealthPolicy {
  override readonly retentionMilliseconds = 60_000

  override assess (evidence: HealthEvidence, health: WorkerHealth, now: number): WorkerHealth {
    const next = this._nextState(evidence, health, now)
    const isSlow = evidence.slowdown > (health.isSlow ? SLOWDOWN_LIMITS.upTo : SLOWDOWN_LIMITS.above)
    return isSlow === next.isSlow ? next : { ...next, isSlow }
  }

  override readmit (health: WorkerHealth, now: number): WorkerHealth {
    return { ...health, state: 'probation', since: now, until: now + PROBATION_MILLISECONDS }
  }

  override severity (evidence: HealthEvidence, now: number): number {
    return this.decayedCount(evidence.failures.map(({ at }) => at), now) + this.decayedCount(evidence.losses, now) + this.decayedCount(evidence.unanswered, now) - this.decayedCount(evidence.done, now)
  }

  /** Sums the weights of the events, each of which halves with every half-life. */
  override decayedCount (moments: readonly number[], now: number): number {
    return moments.reduce((sum, at) => sum + 2 ** (Math.min(0, at - now) / HALF_LIFE_MILLISECONDS), 0)
  }

  override readmissions (pool: readonly PoolMember[]): string[] {
    const total = pool.reduce((sum, { capacity }) => addResources(sum, capacity), NO_RESOURCES)
    const limit = addResources(NO_RESOURCES, total, MAXIMUM_EXCLUDED_FRACTION)
    const excluded = pool.filter(({ isExcluded }) => isExcluded).sort((left, right) => left.severity - right.severity)
    let cost = excluded.reduce((sum, { capacity }) => addResources(sum, capacity), NO_RESOURCES)
    const readmitted: string[] = []
    for (const { virtualMachine, capacity } of excluded) {
      if (fitsWithin(cost, limit)) break
      cost = addResources(cost, capacity, -1)
      readmitted.push(virtualMachine)
    }
    return readmitted
  }

  private _nextState (evidence: HealthEvidence, health: WorkerHealth, now: number): WorkerHealth {
    if (health.state === 'excluded') {
      if (this._isRefuted(evidence, health)) return { ...health, state: 'trusted', since: now, until: Infinity, reason: 'none', exclusions: health.exclusions - 1 }
      return now < health.until ? health : this.readmit(health, now)
    }
    const reason = health.state === 'trusted' ? this._reasonToExclude(evidence, health.since, now) : this._reasonToExcludeAgain(evidence, health.since)
    if (reason) {
      const exclusions = health.since > 0 && now > health.since + FORGET_EXCLUSIONS_MILLISECONDS ? 0 : health.exclusions
      return { ...health, state: 'excluded', since: now, until: now + EXCLUSION_MILLISECONDS * 2 ** Math.min(exclusions, MAXIMUM_DOUBLINGS), reason, exclusions: exclusions + 1 }
    }
    if (health.state === 'trusted') return health
    const isProved = health.reason !== 'losses' && evidence.done.filter(at => at > health.since).length >= PROBATION_RUNS
    return isProved || now >= health.until ? { ...health, state: 'trusted', since: now, until: Infinity, reason: 'none' } : health
  }

  /** Outcomes before the worker was trusted again have already had their consequence. */
  private _reasonToExclude (evidence: HealthEvidence, since: number, now: number): WorkerHealth['reason'] | null {
    const poolFailureRate = Math.min(POOL_FAILURE_RATE_LIMITS.upper, Math.max(POOL_FAILURE_RATE_LIMITS.lower, evidence.poolFailureRate))
    const failuresLimit = Math.log(CHANCE_LIMIT) / Math.log(poolFailureRate)
    const count = (moments: readonly number[]): number => this.decayedCount(moments.filter(at => at > since), now)
    const [failed, unanswered] = [count(evidence.failures.map(({ at }) => at)), count(evidence.unanswered)]
    if (failed >= failuresLimit && failed >= MINIMUM_FAILURE_RATE * (failed + count(evidence.done))) return 'failures'
    if (count(evidence.losses) >= LOSS_LIMIT) return 'losses'
    return unanswered >= UNANSWERED_LIMIT && unanswered >= MINIMUM_FAILURE_RATE * (unanswered + count(evidence.answered)) ? 'unanswered' : null
  }

  /** On probation one outcome is enough, of runs that were started since then: the VM is known for such outcomes. */
  private _reasonToExcludeAgain ({ failures, done, losses, unanswered, answered }: HealthEvidence, since: number): WorkerHealth['reason'] | null {
    const count = (moments: readonly number[]): number => moments.filter(at => at > since).length
    const failed = count(failures.map(({ startedAt }) => startedAt))
    if (failed > 0 && failed >= count(done)) return 'failures'
    if (count(losses) > 0) return 'losses'
    return count(unanswered) > 0 && count(unanswered) >= count(answered) ? 'unanswered' : null
  }

  /** Whether the outcomes that led to the exclusion have another cause after all. */
  private _isRefuted ({ failures, losses }: HealthEvidence, { reason }: WorkerHealth): boolean {
    return (reason === 'failures' && failures.length === 0) || (reason === 'losses' && losses.length === 0)
  }
}
