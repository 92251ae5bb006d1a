/**
 * The system's own placement.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { FleetWorker } from './fleet-worker.js'
import type { ScheduledStep } from './scheduled-step.js'
import type { ScheduledTask } from './scheduled-task.js'
import { PlacementPolicy } from './placement-policy.js'
import type { TeamUsage } from './team-usage.js'

/** A step with what its place in the order depends on. */
interface Ranked {
  readonly step: ScheduledStep
  /** 0: lasting; 1: can still be in time; 2: is late whatever is done. */
  readonly rank: number
  readonly priority: number
  /** Use by its team for each unit of its share, in steps of a tenth of the busiest team's. */
  readonly fairness: number
  /** Epoch milliseconds by which the step must start for the job to be in time. */
  readonly latestStart: number
}

/** Levels of fairness: teams within one level are served by urgency. */
const FAIRNESS_LEVELS = 4

/**
 * Lasting tasks first, for they serve users all the time; then queues' priorities; then jobs that
 * can still be in time before those that can't; among them teams that use least of their
 * share; then the latest start. Workers are filled up one after the other, so that others stay
 * free for wide tasks and for moves.
 */
export class UrgencyPlacementPolicy extends PlacementPolicy {
  constructor (private readonly _configuration: ConfigurationFollowerTask, private readonly _usage: TeamUsage) {
    super()
  }

  override order (steps: readonly ScheduledStep[], now: number): ScheduledStep[] {
    const use = steps.map(step => this._useOfShare(step))
    const busiest = Math.max(1, ...use)
    const ranked = steps.map((step, index) => this._rank(step, Math.floor((use[index] ?? 0) / busiest * FAIRNESS_LEVELS), now))
    ranked.sort((left, right) =>
      left.rank - right.rank || left.priority - right.priority || left.fairness - right.fairness || left.latestStart - right.latestStart)
    return ranked.map(({ step }) => step)
  }

  override choose (task: ScheduledTask, workers: readonly FleetWorker[]): FleetWorker | null {
    const { preferredRack, isLasting } = task.step.definition
    let best: FleetWorker | null = null
    let bestScore = Infinity
    for (const worker of workers) {
      // Lasting tasks keep together, so that the other workers can be moved and maintained.
      const lasting = isLasting ? this._countLasting(worker) * worker.entry.capacity.millicores : 0
      const score = worker.free.millicores - lasting + (preferredRack !== '' && worker.rack !== preferredRack ? worker.entry.capacity.millicores : 0)
      if (score >= bestScore) continue
      best = worker
      bestScore = score
    }
    return best
  }

  private _countLasting (worker: FleetWorker): number {
    return [...worker.tasks].filter(({ step }) => step.definition.isLasting).length
  }

  private _useOfShare (step: ScheduledStep): number {
    const team = this._configuration.team(step.job.view.submission.team)
    return team ? this._usage.used(team.name).millicores / Math.max(1, team.share) : 0
  }

  private _rank (step: ScheduledStep, fairness: number, now: number): Ranked {
    const queue = this._configuration.queue(step.job.view.submission.queue)
    if (!queue) return { step, rank: 2, priority: Infinity, fairness, latestStart: Infinity }
    const latestStart = step.job.targetCompletionAt(step.occurrence, queue) - step.job.criticalPathMilliseconds(step)
    const rank = step.definition.isLasting ? 0 : latestStart >= now ? 1 : 2
    return { step, rank, priority: queue.priority, fairness, latestStart }
  }
}
