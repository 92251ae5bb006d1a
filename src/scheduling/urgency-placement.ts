/**
 * The system's own placement.
 */
import type { ConfigurationTask } from '../configuration/configuration-task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { OwnedStep } from './owned-step.js'
import type { OwnedTask } from './owned-task.js'
import { PlacementPolicy } from './placement-policy.js'
import type { TeamUsage } from './team-usage.js'

/** A step with what its place in the order depends on. */
interface RankedStep {
  readonly step: OwnedStep
  /** 0: lasting; 1: can still be in time; 2: is late whatever is done. */
  readonly urgencyClass: number
  readonly priority: number
  /** Use by its team for each unit of its share, in steps of a tenth of the busiest team's. */
  readonly usageLevel: number
  /** Epoch milliseconds by which the step must start for the job to be in time. */
  readonly latestStart: number
}

/** Levels of fairness: teams within one level are served by urgency. */
const TEAM_USAGE_LEVELS = 4

/**
 * Lasting tasks first, for they serve users all the time; then queues' priorities; then jobs that
 * can still be in time before those that can't; among them teams that use least of their
 * share; then the latest start. Workers are filled up one after the other, so that others stay
 * free for wide tasks and for moves.
 */
export class UrgencyPlacement extends PlacementPolicy {
  constructor (private readonly _configuration: ConfigurationTask, private readonly _usage: TeamUsage) {
    super()
  }

  override prioritize (steps: readonly OwnedStep[], now: number): OwnedStep[] {
    const use = steps.map(step => this._usagePerShare(step))
    const busiest = Math.max(1, ...use)
    const ranked = steps.map((step, index) => this._rankStep(step, Math.floor((use[index] ?? 0) / busiest * TEAM_USAGE_LEVELS), now))
    ranked.sort((left, right) =>
      left.urgencyClass - right.urgencyClass || left.priority - right.priority || left.usageLevel - right.usageLevel || left.latestStart - right.latestStart)
    return ranked.map(({ step }) => step)
  }

  override chooseWorker (task: OwnedTask, workers: readonly FleetWorker[]): FleetWorker | null {
    const { preferredRack, isLasting } = task.step.definition
    let best: FleetWorker | null = null
    let bestScore = Infinity
    for (const worker of workers) {
      // Lasting tasks keep together, so that the other workers can be moved and maintained.
      const lasting = isLasting ? this._countLastingTasks(worker) * worker.entry.capacity.millicores : 0
      const score = worker.available.millicores - lasting + (preferredRack !== '' && worker.rack !== preferredRack ? worker.entry.capacity.millicores : 0)
      if (score >= bestScore) continue
      best = worker
      bestScore = score
    }
    return best
  }

  private _countLastingTasks (worker: FleetWorker): number {
    return [...worker.tasks].filter(({ step }) => step.definition.isLasting).length
  }

  private _usagePerShare (step: OwnedStep): number {
    const team = this._configuration.team(step.job.view.submission.team)
    return team ? this._usage.used(team.name).millicores / Math.max(1, team.share) : 0
  }

  private _rankStep (step: OwnedStep, fairness: number, now: number): RankedStep {
    const queue = this._configuration.queue(step.job.view.submission.queue)
    if (!queue) return { step, urgencyClass: 2, priority: Infinity, usageLevel: fairness, latestStart: Infinity }
    const latestStart = step.job.objective(step.occurrence, queue) - step.job.remainingChain(step)
    const rank = step.definition.isLasting ? 0 : latestStart >= now ? 1 : 2
    return { step, urgencyClass: rank, priority: queue.priority, usageLevel: fairness, latestStart }
  }
}
