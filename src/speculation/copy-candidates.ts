/**
 * Search for the tasks that may get a copy.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { JobQueue } from '../configuration/job-queue.js'
import { JobAllowance } from '../jobs/job-allowance.js'
import type { TeamUsage } from '../placement/team-usage.js'
import type { ScheduledJobTable } from '../scheduling/scheduled-job-table.js'
import type { ScheduledStep } from '../scheduling/scheduled-step.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { RunDurations } from './run-durations.js'
import type { SlowTask } from './slow-task.js'
import type { SpeculationPolicy } from './speculation-policy.js'

/** Reads the schedule; concludes nothing. */
export class CopyCandidates {
  constructor (
    private readonly _jobs: ScheduledJobTable, private readonly _configuration: ConfigurationFollowerTask, private readonly _usage: TeamUsage, private readonly _durations: RunDurations,
    private readonly _policy: SpeculationPolicy
  ) {}

  /** Returns the candidates by pool: the tasks whose run is older than the policy's limit. Steps that don't allow copies and waiting tasks cost nothing but the look at them. */
  find (now: number): Map<string, SlowTask[]> {
    const candidates = new Map<string, SlowTask[]>()
    for (const job of this._jobs.active) {
      if (!job.allowsCopies) continue
      for (const step of job.steps) {
        const { isSpeculative, isLasting, isGang, isFiller } = step.definition
        if (isSpeculative && !isLasting && !isGang && !isFiller) this._addCandidates(step, candidates, now)
      }
    }
    return candidates
  }

  /** Returns the pools in which a task waits for room: its team may run more. */
  busyPools (now: number): Set<string> {
    const pools = new Set<string>()
    for (const { step, queue } of this._waitingSteps()) {
      if (step.dueAt <= now && step.isUnblocked && this._usage.isWithinUpperLimit(step.job.view.submission.team, step.definition.demand)) pools.add(queue.pool)
    }
    return pools
  }

  private * _waitingSteps (): Generator<{ step: ScheduledStep, queue: JobQueue }> {
    for (const job of this._jobs.active) {
      for (const step of job.steps) {
        const queue = step.tasks.some(({ phase }) => phase === 'waiting') ? this._configuration.queueOf(job.view.submission) : null
        if (queue) yield { step, queue }
      }
    }
  }

  /** Adds the candidates of a step, unless its team may not use more: they would take the share of copies from other teams. What they have in common is computed once, and only if a task has a run. */
  private _addCandidates (step: ScheduledStep, candidates: Map<string, SlowTask[]>, now: number): void {
    if (!step.tasks.some(({ phase }) => phase === 'placed')) return
    const { job: { view: { submission } }, definition: { demand } } = step
    if (!this._usage.isWithinUpperLimit(submission.team, demand)) return
    const queue = this._configuration.queueOf(submission)
    const expectedMilliseconds = queue && this._durations.expectedMilliseconds(step)
    if (!queue || expectedMilliseconds === null) return
    const startedBefore = now - this._policy.slowAfterMilliseconds(expectedMilliseconds)
    let deadlines: ReturnType<CopyCandidates['_deadlines']> | null = null
    for (const task of step.tasks) {
      if (task.phase !== 'placed' || task.confirmedAt >= startedBefore || !this._mayGetCopy(task, queue, now)) continue
      const { confirmedAt: startedAt, progressPercent } = task
      deadlines ??= this._deadlines(step, queue)
      const { onTimeUntil, usefulUntil } = deadlines
      const pool = candidates.get(queue.pool) ?? []
      if (pool.length === 0) candidates.set(queue.pool, pool)
      pool.push({ task, queue, startedAt, expectedMilliseconds, progressPercent, onTimeUntil, usefulUntil, millicores: demand.millicores })
    }
  }

  /**
   * Whether a task has one run that is known to be active, as it isn't while its worker is silent, without anything that makes a second one unsafe. Copies of a task that
   * fails could use up its attempts while the original continues.
   */
  private _mayGetCopy (task: ScheduledTask, { pool }: JobQueue, now: number): boolean {
    const { phase, runState, isStopOrdered, copy, crashes, failedRuns, worker, run, step } = task
    const isTimedFirstStart = step.dueAt > 0 && run === 1
    const isWorkerHeard = worker !== null && !worker.isSilent && worker.reportDueAt >= now
    return isWorkerHeard && phase === 'placed' && runState === 'running' && !isStopOrdered && copy === null && crashes.isEmpty && failedRuns.length === 0 && !isTimedFirstStart && task.nextCopyAt <= now && worker.entry.pool === pool
  }

  private _deadlines (step: ScheduledStep, queue: JobQueue): Pick<SlowTask, 'onTimeUntil' | 'usefulUntil'> {
    if (!JobAllowance.hasTarget(queue)) return { onTimeUntil: Infinity, usefulUntil: Infinity }
    const { job, occurrence, definition: { estimateMilliseconds } } = step
    const laterMilliseconds = job.criticalPathMilliseconds(step) - estimateMilliseconds
    return { onTimeUntil: job.targetCompletionAt(occurrence, queue) - laterMilliseconds, usefulUntil: job.obsoleteAt(occurrence, queue) - laterMilliseconds }
  }
}
