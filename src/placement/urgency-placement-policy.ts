/**
 * The default placement policy.
 */
import type { FleetWorker } from '../workers/fleet-worker.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import { PlacementPolicy } from './placement-policy.js'
import type { StepRank } from './step-rank.js'

/**
 * Places lasting tasks first, because they serve users all the time, then by the priority of the queue. Of one priority, steps of jobs that can still meet their
 * target go first, and those whose results are of no use any more last: they would only make others late. Those of equal lateness are ordered by the usage of their team
 * relative to its share, and by the work that their job still needs: this answers bursts of more work than the pool can do in time, in which
 * the most jobs meet their target if the smallest go first. `LongestWaitTurns` keeps the others from starving. Workers are filled up one
 * after another, so that the others stay free for large tasks and for moves.
 */
export class UrgencyPlacementPolicy extends PlacementPolicy {
  override prioritize<Step extends StepRank> (steps: readonly Step[]): Step[] {
    return steps.toSorted((left, right) =>
      Number(right.isLasting) - Number(left.isLasting) || left.priority - right.priority || left.lateness - right.lateness || left.usageLevel - right.usageLevel ||
      left.work - right.work || left.requestedAt - right.requestedAt || (left.name < right.name ? -1 : 1))
  }

  override chooseWorker (task: ScheduledTask, workers: readonly FleetWorker[]): FleetWorker | null {
    const { preferredRack, isLasting } = task.step.definition
    let best: FleetWorker | null = null
    let bestScore = Infinity
    for (const worker of workers) {
      // Lasting tasks are kept together, so that the VMs of other workers can be moved and maintained.
      const lastingBonus = isLasting ? this._countLastingTasks(worker) * worker.entry.capacity.millicores : 0
      const score = worker.available.millicores - lastingBonus + (preferredRack !== '' && worker.rack !== preferredRack ? worker.entry.capacity.millicores : 0)
      if (score >= bestScore) continue
      best = worker
      bestScore = score
    }
    return best
  }

  private _countLastingTasks (worker: FleetWorker): number {
    return [...worker.tasks].filter(({ step }) => step.definition.isLasting).length
  }
}
