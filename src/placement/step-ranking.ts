/**
 * Ranks of the waiting steps.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { JobQueue } from '../configuration/job-queue.js'
import type { Resources } from '../jobs/resources.js'
import type { ScheduledStep } from '../scheduling/scheduled-step.js'
import { workUsefulness } from '../scheduling/work-usefulness.js'
import { dominantShare } from './dominant-share.js'
import type { RankedStep } from './ranked-step.js'
import type { TeamUsage } from './team-usage.js'

/** Number of levels of usage: steps of teams on the same level are ordered by the work of their jobs. */
const TEAM_USAGE_LEVELS = 4

/** Computes the ranks anew in each round from the schedule, so that a new owner has the same ones. */
export class StepRanking {
  constructor (private readonly _configuration: ConfigurationFollowerTask, private readonly _usage: TeamUsage) {}

  /**
   * Returns the steps with their ranks, without those whose queue the configuration doesn't have.
   *
   * @param total resources of all eligible workers, of which teams use a part.
   */
  rank (steps: readonly ScheduledStep[], total: Resources, now: number): RankedStep[] {
    const levels = this._usageLevels(steps, total)
    const ranked: RankedStep[] = []
    for (const step of steps) {
      const queue = this._configuration.queueOf(step.job.view.submission)
      if (queue) ranked.push(this._rankStep(step, queue, levels.get(step.job.view.submission.team) ?? 0, now))
    }
    return ranked
  }

  /** Usage level of each team with waiting steps. */
  private _usageLevels (steps: readonly ScheduledStep[], total: Resources): Map<string, number> {
    const usages = new Map<string, number>()
    for (const step of steps) {
      const name = step.job.view.submission.team
      if (usages.has(name)) continue
      const team = this._configuration.team(name)
      usages.set(name, team ? dominantShare(this._usage.used(name), total) / Math.max(1, team.share) : 0)
    }
    const highest = Math.max(0, ...usages.values())
    return new Map([...usages].map(([name, usage]) => [name, highest > 0 ? Math.floor(usage / highest * TEAM_USAGE_LEVELS) : 0]))
  }

  private _rankStep (step: ScheduledStep, queue: JobQueue, usageLevel: number, now: number): RankedStep {
    const { job, occurrence, definition: { isLasting } } = step
    const latestStartAt = job.targetCompletionAt(occurrence, queue) - job.criticalPathMilliseconds(step)
    const usefulness = latestStartAt >= now ? 'on-time' : workUsefulness(step, queue, now)
    return {
      step,
      queue,
      usefulness,
      latestStartAt,
      name: step.name,
      pool: queue.pool,
      isLasting,
      priority: queue.priority,
      // Jobs without a target can wait for those that have one, however useful their results stay.
      lateness: usefulness === 'obsolete' ? 2 : latestStartAt < now ? 1 : 0,
      usageLevel,
      work: job.remainingWork(step),
      requestedAt: Math.max(job.submittedAt, step.dueAt)
    }
  }
}
