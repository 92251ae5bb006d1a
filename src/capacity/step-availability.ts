/**
 * Which tasks of a lasting step are at work.
 */
import type { ScheduledTask } from '../scheduling/scheduled-task.js'

/** Age of a worker's last report up to which its tasks count as running, in milliseconds. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 1_500

/** What is known of a step when one of its tasks is to be stopped. */
export class StepAvailability {
  /** Number of tasks of the step that may be away at a time. */
  readonly budget: number
  /** The other tasks that aren't known to be at work, each with the reason. */
  readonly away: readonly string[]
  /** Age of the oldest report that shows another task at work, in milliseconds; 0 if there is none. */
  readonly reportAgeMilliseconds: number

  /**
   * @param task the task to stop, which doesn't count.
   * @param maximumStopMilliseconds longest time for which a worker reports a run that it stops.
   * @param now epoch milliseconds.
   */
  constructor (task: ScheduledTask, maximumStopMilliseconds: number, now: number) {
    const others = task.step.tasks.filter(other => other !== task)
    this.budget = Math.max(1, task.step.definition.disruptionBudget)
    this.away = others.flatMap(other => {
      const reason = reasonForAbsence(other, maximumStopMilliseconds, now)
      return reason === '' ? [] : [`${other.index}: ${reason}`]
    })
    this.reportAgeMilliseconds = Math.round(Math.max(0, ...others.filter(other => reasonForAbsence(other, maximumStopMilliseconds, now) === '').map(({ worker }) => now - (worker?.lastReportAt ?? now))))
  }

  /** Whether the task may be stopped. */
  get permitsStop (): boolean {
    return this.away.length < this.budget
  }
}

/** Returns why a task can't be taken for one at work; empty if it can. */
function reasonForAbsence ({ isFullyRunning, phase, runState, worker, progressPercent, otherStopsOverAt }: ScheduledTask, maximumStopMilliseconds: number, now: number): string {
  if (phase !== 'placed' || !worker) return phase
  if (!isFullyRunning) return runState === 'running' ? `ready to ${progressPercent}%` : runState
  // The previous owner may have ordered a stop just before the worker learned of the present one.
  if (worker.reportRequestedAt < otherStopsOverAt + maximumStopMilliseconds) return 'may be stopping'
  const reportAgeMilliseconds = now - worker.lastReportAt
  return reportAgeMilliseconds < MAXIMUM_REPORT_AGE_MILLISECONDS ? '' : `reported ${Math.round(reportAgeMilliseconds)} ms ago`
}
