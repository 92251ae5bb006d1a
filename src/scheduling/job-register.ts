/**
 * The jobs that the owner drives.
 */
import type { OwnedJob } from './owned-job.js'
import type { OwnedTask } from './owned-task.js'

/** Open jobs, and those that are over and not yet reduced to their outcome. */
export class JobRegister {
  private readonly _jobs = new Map<string, OwnedJob>()
  private readonly _active = new Set<OwnedJob>()
  private readonly _finished = new Set<OwnedJob>()

  /** Jobs of which something may still start. */
  get open (): ReadonlySet<OwnedJob> {
    return this._active
  }

  /** A job by its ID, or null. */
  job (id: string): OwnedJob | null {
    return this._jobs.get(id) ?? null
  }

  /** A task by its name, or null. */
  findTask (name: string): OwnedTask | null {
    const [job = '', occurrence, step, index] = name.split('.')
    return this._jobs.get(job)?.step(Number(occurrence), Number(step))?.tasks[Number(index)] ?? null
  }

  /** Takes a job in. */
  add (job: OwnedJob): void {
    this._jobs.set(job.id, job)
    this._active.add(job)
  }

  /** Nothing more of a job is to start. */
  markFinished (job: OwnedJob): void {
    this._active.delete(job)
    this._finished.add(job)
  }

  /** Jobs that are over and of which nothing runs any more; they are forgotten here. */
  removeFinished (): OwnedJob[] {
    const finished = [...this._finished].filter(job => !job.steps.some(step => step.tasks.some(({ worker }) => worker !== null)))
    // The journal may still have to hear of the last ends.
    const told = finished.filter(({ view }) => view.state !== 'queued' && view.state !== 'running')
    for (const job of told) {
      this._finished.delete(job)
      this._jobs.delete(job.id)
    }
    return told
  }
}
