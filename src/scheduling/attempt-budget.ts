/**
 * The failed runs that a queue allows.
 */
import type { ConfigurationFollowerTask } from '../configuration/configuration-follower-task.js'
import type { ScheduledTask } from './scheduled-task.js'

/** Counts failed runs against the limit of the task's queue. */
export class AttemptBudget {
  constructor (private readonly _configuration: ConfigurationFollowerTask) {}

  /** Records a failed run; returns whether the task has used up its attempts. */
  recordFailedRun (run: ScheduledTask): boolean {
    const { isGang, isLasting } = run.step.definition
    // Lasting tasks may fail any number of times.
    if (isLasting) return false
    const task = run.principal
    for (const member of isGang ? task.step.tasks : [task]) member.recordFailure(run.run)
    return this._isUsedUp(task)
  }

  /** Whether a task whose last run ended without a result must not start again: its failed runs had used up the attempts while another run continued, which only happens to tasks with copies. */
  isUsedUpByCopies (task: ScheduledTask): boolean {
    return task.hasHadCopy && this._isUsedUp(task)
  }

  private _isUsedUp (task: ScheduledTask): boolean {
    const queue = this._configuration.queueOf(task.step.job.view.submission)
    return queue !== null && task.failedRuns.length >= queue.maximumAttempts
  }
}
