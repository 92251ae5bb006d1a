/**
 * The jobs that the owner drives.
 */
import type { ScheduledJob } from './scheduled-job.js'
import type { ScheduledTask } from './scheduled-task.js'

/** Open jobs, and those that are over and not yet reduced to their outcome. */
export class ScheduledJobTable {
  private readonly _jobs = new Map<string, ScheduledJob>()
  private readonly _open = new Set<ScheduledJob>()
  private readonly _over = new Set<ScheduledJob>()

  /** Jobs of which something may still start. */
  get active (): ReadonlySet<ScheduledJob> {
    return this._open
  }

  /** A job by its ID, or null. */
  job (id: string): ScheduledJob | null {
    return this._jobs.get(id) ?? null
  }

  /** A task by its name, or null. */
  find (name: string): ScheduledTask | null {
    const [job = '', occurrence, step, index] = name.split('.')
    return this._jobs.get(job)?.step(Number(occurrence), Number(step))?.tasks[Number(index)] ?? null
  }

  /** Takes a job in. */
  add (job: ScheduledJob): void {
    this._jobs.set(job.id, job)
    this._open.add(job)
  }

  /** Nothing more of a job is to start. */
  close (job: ScheduledJob): void {
    this._open.delete(job)
    this._over.add(job)
  }

  /** Jobs that are over and of which nothing runs any more; they are forgotten here. */
  takeFinished (): ScheduledJob[] {
    const finished = [...this._over].filter(job => !job.steps.some(step => step.tasks.some(({ worker }) => worker !== null)))
    // The journal may still have to hear of the last ends.
    const told = finished.filter(({ view }) => view.state !== 'queued' && view.state !== 'running')
    for (const job of told) {
      this._over.delete(job)
      this._jobs.delete(job.id)
    }
    return told
  }
}
