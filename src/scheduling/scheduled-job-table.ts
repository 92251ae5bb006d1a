/**
 * The jobs that the owner schedules, in memory.
 */
import type { ScheduledJob } from './scheduled-job.js'
import type { ScheduledTask } from './scheduled-task.js'

/** Active jobs, and finished ones whose records have not been replaced by their outcome yet. */
export class ScheduledJobTable {
  private readonly _jobs = new Map<string, ScheduledJob>()
  private readonly _active = new Set<ScheduledJob>()
  private readonly _finished = new Set<ScheduledJob>()
  private readonly _tasksWithUnprovenCrashes = new Set<ScheduledTask>()

  /** Jobs of which tasks may still start. */
  get active (): ReadonlySet<ScheduledJob> {
    return this._active
  }

  /** All jobs. */
  get all (): IterableIterator<ScheduledJob> {
    return this._jobs.values()
  }

  /** Tasks of active jobs with crashes that aren't proved. */
  get tasksWithUnprovenCrashes (): ReadonlySet<ScheduledTask> {
    return this._tasksWithUnprovenCrashes
  }

  /** Returns a job by its ID, or null. */
  job (id: string): ScheduledJob | null {
    return this._jobs.get(id) ?? null
  }

  /** Returns a task by its name, or null if there is none or its step isn't open. */
  findTask (name: string): ScheduledTask | null {
    const [job = '', occurrence, step, index] = name.split('.')
    return this._jobs.get(job)?.step(Number(occurrence), Number(step))?.tasks[Number(index)] ?? null
  }

  /** Adds an active job. */
  add (job: ScheduledJob): void {
    this._jobs.set(job.id, job)
    this._active.add(job)
    for (const step of job.steps) for (const task of step.tasks) this.updateUnprovenCrashes(task)
  }

  /** Updates `tasksWithUnprovenCrashes` after a change of a task's crashes. */
  updateUnprovenCrashes (task: ScheduledTask): void {
    if (task.crashes.hasUnproven && this._active.has(task.step.job)) this._tasksWithUnprovenCrashes.add(task)
    else this._tasksWithUnprovenCrashes.delete(task)
  }

  /** Marks a job as finished: no more of its tasks start. */
  markFinished (job: ScheduledJob): void {
    this._active.delete(job)
    for (const task of this._tasksWithUnprovenCrashes) if (task.step.job === job) this._tasksWithUnprovenCrashes.delete(task)
    this._finished.add(job)
  }

  /** Removes and returns the finished jobs without placed tasks whose final state is in the journal. */
  removeFinished (): ScheduledJob[] {
    const idle = [...this._finished].filter(job => !job.steps.some(step => step.tasks.some(({ hasRuns }) => hasRuns)))
    // The last run completions may not be in the journal yet.
    const recorded = idle.filter(({ view }) => view.state !== 'queued' && view.state !== 'running')
    for (const job of recorded) {
      this._finished.delete(job)
      this._jobs.delete(job.id)
    }
    return recorded
  }
}
