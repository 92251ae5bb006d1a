/**
 * The ends of runs of tasks that may have a copy.
 */
import type { Metrics } from '../observability/metrics.js'
import type { ScheduledTask } from '../scheduling/scheduled-task.js'
import type { Clock } from '../supervision/clock.js'
import type { RunDurations } from './run-durations.js'

/** Time from the end of a copy without a result until the next copy of the task, in milliseconds: a refused start would otherwise be repeated in each round. */
const COPY_INTERVAL_MILLISECONDS = 1_000

/** Decides what remains of a task when one of its runs ends, and counts copies. Called by the schedule, which writes the changes. */
export class TaskCopies {
  constructor (readonly durations: RunDurations, private readonly _clock: Clock, private readonly _metrics: Metrics) {}

  /** Adds a copy to a task. */
  add (task: ScheduledTask): ScheduledTask {
    this._metrics.count('speculation.copies', 1, 'started')
    return task.addCopy()
  }

  /** Records that a run has completed its task. */
  runDone (run: ScheduledTask): void {
    this.durations.record(run, this._clock.now())
    this._countOutcome(run, 'won')
    if (run !== run.principal) run.phase = 'done'
  }

  /** Records that the copy of a task isn't needed any more. It keeps its reservation until it has ended. */
  copyStopped (copy: ScheduledTask): void {
    this._countOutcome(copy, 'stopped')
    copy.phase = 'done'
  }

  /**
   * Records that a run doesn't exist any more, after its reservation has been released. A copy is removed from its task, and takes the place of a task whose own run has ended.
   *
   * @returns whether another run of the task remains, so that the task neither waits nor starts again.
   */
  runEnded (run: ScheduledTask): boolean {
    const { principal: task } = run
    if (run.isCopy) this._countOutcome(run, task.phase === 'done' || run.step.job.isFinished ? 'stopped' : 'lost')
    if (task.copy === run) {
      run.phase = 'done'
      task.removeCopy()
      task.nextCopyAt = this._clock.now() + COPY_INTERVAL_MILLISECONDS
      return true
    }
    if (run !== task || run.phase !== 'placed' || !task.copy) return false
    task.continueAsCopy(task.copy)
    return true
  }

  /** Counts the outcome of a run that began as a copy; only the first one. */
  private _countOutcome (run: ScheduledTask, outcome: 'won' | 'lost' | 'stopped'): void {
    if (!run.isCopy) return
    run.isCopy = false
    this._metrics.count('speculation.copies', 1, outcome)
  }
}
