/**
 * Placement of copies of slow tasks.
 */
import type { Observability } from '../observability/observability.js'
import type { PlacementFleet } from '../placement/placement-fleet.js'
import type { PlacementRules } from '../placement/placement-rules.js'
import type { FleetSchedule } from '../scheduling/fleet-schedule.js'
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { CopyCandidates } from './copy-candidates.js'
import type { SlowTask } from './slow-task.js'
import type { SpeculationPolicy } from './speculation-policy.js'

/** Time between two decisions, in milliseconds: short against the tasks that are worth a copy, so that it adds little to a round of placement. */
const DECISION_INTERVAL_MILLISECONDS = 100

/** Limit on the copies of one decision, so that the log line stays below 4 KB; the others follow in the next decision. */
const MAXIMUM_COPIES_PER_DECISION = 20

/** Time for which a task that no worker can take a copy of is left out, in milliseconds: the policy would set aside processors for it in each decision, and other tasks would get no copy. */
const PLACEMENT_RETRY_MILLISECONDS = 1_000

/** Places copies after a placement round, when it is known which pools have room left. */
export class CopyPlacement {
  private _nextDecisionAt = 0

  /** @param _isEnabled whether the settings allow copies. */
  constructor (
    private readonly _candidates: CopyCandidates, private readonly _policy: SpeculationPolicy, private readonly _schedule: FleetSchedule, private readonly _fleet: PlacementFleet,
    private readonly _rules: PlacementRules, private readonly _isEnabled: () => boolean, private readonly _observability: Observability
  ) {}

  /** Decides on copies if that is due, and places them. */
  placeCopies (now: number): void {
    if (now < this._nextDecisionAt || !this._isEnabled()) return
    this._nextDecisionAt = now + DECISION_INTERVAL_MILLISECONDS
    const candidatesByPool = this._candidates.find(now)
    if (candidatesByPool.size === 0) return
    const busyPools = this._candidates.busyPools(now)
    const placed: string[] = []
    for (const [pool, candidates] of candidatesByPool) {
      const workers = this._eligibleWorkers(pool, now)
      const chosen = this._policy.choose({ candidates, hasWaitingTasks: busyPools.has(pool), totalMillicores: this._capacity(workers), copiedMillicores: this._copiedMillicores(pool) }, now)
      for (const slow of chosen) {
        if (placed.length >= MAXIMUM_COPIES_PER_DECISION || this._fleet.unsettledStarts.isFull) break
        const worker = this._chooseWorker(slow, workers, now)
        if (!worker) {
          slow.task.nextCopyAt = now + PLACEMENT_RETRY_MILLISECONDS
          continue
        }
        this._schedule.placeCopy(slow.task, worker)
        placed.push(this._describe(slow, worker, now))
      }
    }
    if (placed.length > 0) this._observability.log.emit('tasks copied', { copies: placed })
  }

  private _eligibleWorkers (pool: string, now: number): FleetWorker[] {
    return [...this._fleet.workers.all].filter(worker => worker.entry.pool === pool && this._fleet.workers.isEligible(worker, now) && worker.unsettledRuns.size === 0)
  }

  private _capacity (workers: readonly FleetWorker[]): number {
    return workers.reduce((sum, { entry }) => sum + entry.capacity.millicores, 0)
  }

  private _copiedMillicores (pool: string): number {
    let sum = 0
    for (const { entry, tasks } of this._fleet.workers.all) {
      if (entry.pool === pool) for (const run of tasks) if (run !== run.principal) sum += run.step.definition.demand.millicores
    }
    return sum
  }

  /** Chooses a trusted worker other than the original's, or returns null if none has room or the team may not use more. */
  private _chooseWorker ({ task, queue }: SlowTask, workers: readonly FleetWorker[], now: number): FleetWorker | null {
    const { step } = task
    const { requiredLabel, maximumPerWorker, demand } = step.definition
    const { policy, selection, advice } = this._rules
    if (!this._fleet.reservations.teamUsage.isWithinUpperLimit(step.job.view.submission.team, demand)) return null
    const suitable = workers.filter(worker =>
      worker !== task.worker && worker.health.state === 'trusted' && !worker.health.isSlow && worker.avoidedUntil <= now &&
      worker.hasCapacityFor(task.reservation) && !worker.blocksStartOf(task) &&
      (requiredLabel === '' || worker.entry.labels.includes(requiredLabel)) &&
      (maximumPerWorker === 0 || step.countOn(worker) < maximumPerWorker) &&
      (!queue.advice || advice.ticket(step, worker) !== null))
    return policy.chooseWorker(task, selection.preferred(task, selection.usable(task, suitable, now), now))
  }

  private _describe ({ task, startedAt, expectedMilliseconds }: SlowTask, worker: FleetWorker, now: number): string {
    return `${task.name}/${task.newestRun} ${worker.entry.id} of ${task.run} ${task.workerId} age ${Math.round(now - startedAt)} expected ${Math.round(expectedMilliseconds)}`
  }
}
