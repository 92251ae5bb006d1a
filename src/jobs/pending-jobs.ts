/**
 * The accepted jobs of which nothing has begun.
 */
import type { Clock } from '../supervision/clock.js'
import type { JobView } from './job-view.js'

/** Time after which a task that has been placed is taken to have begun, in milliseconds: by then its worker has accepted or refused it, and counts of pending jobs may be 2 s old. */
const START_MILLISECONDS = 1_000

/** Keeps the pending jobs of each queue. */
export class PendingJobs {
  /** By queue and job ID, the epoch milliseconds from which a start that is on its way counts; Infinity for none. */
  private readonly _startedAtByQueue = new Map<string, Map<string, number>>()

  constructor (private readonly _clock: Clock) {}

  /** Returns the number of pending jobs of a queue. */
  count (queue: string): number {
    const now = this._clock.now()
    return [...this._startedAtByQueue.get(queue)?.values() ?? []].filter(startedAt => startedAt > now).length
  }

  /** Applies the state of a job. */
  update (job: JobView): void {
    const { state, hasBegun, submission: { id, queue } } = job
    if (hasBegun || (state !== 'queued' && state !== 'running')) {
      this.remove(job)
      return
    }
    const startedAtById = this._startedAtByQueue.get(queue) ?? new Map<string, number>()
    this._startedAtByQueue.set(queue, startedAtById)
    if (state === 'queued') startedAtById.set(id, Infinity)
    else if (startedAtById.get(id) === Infinity) startedAtById.set(id, this._clock.now() + START_MILLISECONDS)
  }

  /** Removes a job. */
  remove ({ submission: { id, queue } }: JobView): void {
    this._startedAtByQueue.get(queue)?.delete(id)
  }
}
